import { Effect } from "effect";
import { steadyMs } from "../clock/index.ts";
import type { GracefulStop } from "../serving/index.ts";
import type { CallerServer } from "./caller_server.ts";

/** Time within which the platform's front stops sending new connections. */
const FRONT_REMOVAL_MS = 3_000;
/** Share of the time for answers after which all new requests are refused. */
const MAX_TAKING_SHARE = 0.5;
/** Share of the grace time within which all requests must be answered. */
const GRACE_SHARE = 0.9;
/** Share of the grace time for connections to close after their last answer. */
const CLOSING_SHARE = 0.08;

/** Dependencies of the drain of callers. */
export interface DrainOptions {
  readonly callers: CallerServer;
  readonly stop: GracefulStop;
  readonly graceMs: number;
}

/**
 * Takes requests that can be answered in time, then refuses all until no new
 * callers are expected, waits for those under way, and gives those that are not
 * answered by then a final answer.
 */
export function drainCallers(
  { callers, stop, graceMs }: DrainOptions,
): Effect.Effect<void> {
  const totalMs = graceMs * GRACE_SHARE;
  const removalMs = Math.min(FRONT_REMOVAL_MS, totalMs);
  const takingMs = Math.min(removalMs, totalMs * MAX_TAKING_SHARE);
  return Effect.gen(function* () {
    callers.close();
    stop.begin((yield* steadyMs) + totalMs);
    yield* Effect.sleep(takingMs);
    stop.refuseAll();
    yield* Effect.sleep(removalMs - takingMs);
    yield* Effect.timeoutOption(
      callers.calls.waitUntilEmpty(),
      totalMs - removalMs,
    );
    stop.end();
    yield* Effect.timeoutOption(callers.finish(), graceMs * CLOSING_SHARE);
  });
}
