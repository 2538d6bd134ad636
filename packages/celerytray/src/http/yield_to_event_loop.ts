import { Effect } from "effect";

/**
 * Waits until the event loop has read all connections with pending data. The
 * data may have arrived after the current iteration polled for it, so the wait
 * lasts until the end of the next iteration.
 */
export const yieldToEventLoop: Effect.Effect<void> = Effect.callback(
  (resume) => {
    setImmediate(() => setImmediate(() => resume(Effect.void)));
  },
);
