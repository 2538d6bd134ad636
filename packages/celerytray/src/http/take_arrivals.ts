import { Effect } from "effect";
import type { Server } from "node:http";
import { yieldToEventLoop } from "./yield_to_event_loop.ts";

/** Longer than a connection needs to be accepted and its request to be read. */
const QUIET_YIELDS = 4;

/**
 * Accepts and reads what has arrived by now. Timers come before arrivals, of
 * which each turn of the event loop accepts only some, so a server that is
 * closed by a timer resets what came while the process stood still.
 */
export function takeArrivals(server: Server): Effect.Effect<void> {
  return Effect.suspend(() => {
    let quietYields = 0;
    const noteArrival = () => quietYields = 0;
    server.on("connection", noteArrival);
    server.on("request", noteArrival);
    return Effect.gen(function* () {
      while (quietYields < QUIET_YIELDS) {
        quietYields += 1;
        yield* yieldToEventLoop;
      }
    }).pipe(Effect.ensuring(Effect.sync(() => {
      server.off("connection", noteArrival);
      server.off("request", noteArrival);
    })));
  });
}
