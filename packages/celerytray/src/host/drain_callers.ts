import { Effect } from "effect";
import type { CallerServer } from "./caller_server.ts";

/** Time within which the platform's front stops sending new connections. */
const FRONT_REMOVAL_MS = 3_000;
/** Share of the grace time within which all requests must be answered. */
const GRACE_SHARE = 0.9;

/**
 * Waits until no new callers are expected, then refuses them and waits for the
 * remaining requests.
 */
export function drainCallers(
  callers: CallerServer,
  graceMs: number,
): Effect.Effect<void> {
  callers.close();
  return Effect.sleep(FRONT_REMOVAL_MS).pipe(
    Effect.andThen(Effect.sync(() => callers.refuse())),
    Effect.andThen(
      Effect.timeoutOption(
        callers.calls.waitUntilEmpty(),
        graceMs * GRACE_SHARE - FRONT_REMOVAL_MS,
      ),
    ),
    Effect.asVoid,
  );
}
