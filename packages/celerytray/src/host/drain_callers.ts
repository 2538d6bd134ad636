import { Effect } from "effect";
import type { CallerServer } from "./caller_server.ts";

/** Time in which the platform's entry stops sending new connections. */
const ENTRY_NOTICE_MS = 3_000;
/** Part of the grace time within which everything must be answered. */
const GRACE_PART = 0.9;

/** Refuses callers once none should come any more, and answers the rest. */
export function drainCallers(
  callers: CallerServer,
  graceMs: number,
): Effect.Effect<void> {
  callers.close();
  return Effect.sleep(ENTRY_NOTICE_MS).pipe(
    Effect.andThen(Effect.sync(() => callers.refuse())),
    Effect.andThen(
      Effect.timeoutOption(
        callers.calls.waitUntilEmpty(),
        graceMs * GRACE_PART - ENTRY_NOTICE_MS,
      ),
    ),
    Effect.asVoid,
  );
}
