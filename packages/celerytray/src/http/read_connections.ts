import { Effect } from "effect";

/**
 * Lets the event loop read all connections that have something to read. The
 * turn under way may have begun before it came, so that the end of the next one
 * is awaited.
 */
export const yieldToEventLoop: Effect.Effect<void> = Effect.callback(
  (resume) => {
    setImmediate(() => setImmediate(() => resume(Effect.void)));
  },
);
