import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import { steadyMs } from "../clock/index.ts";
import type { KeyedLog } from "../keyed_log/index.ts";
import type { ConfigView } from "./config_view.ts";
import type { KeyFreshness } from "./key_freshness.ts";

/** Dependencies of proving that the keys are the newest. */
export interface ProveKeysOptions {
  readonly log: KeyedLog;
  readonly config: ConfigView;
  readonly keys: KeyFreshness;
  readonly state: { needsProof: boolean };
  readonly record: RecordEvent;
}

const PROOF_CHECK_INTERVAL_MS = 100;
/** Delay before a failed proof is retried. */
const PROOF_RETRY_DELAY_MS = 250;

/**
 * Reads the store, without waiting for records, whenever a proof is needed that
 * there is no newer configuration.
 */
export function proveKeys(
  { log, config, keys, state, record }: ProveKeysOptions,
): Effect.Effect<never> {
  const prove = Effect.gen(function* () {
    const sentAtMs = yield* steadyMs;
    const { nextOffset: fromOffset } = config;
    const page = yield* log.read("config", { fromOffset, waitMs: 0 });
    state.needsProof = false;
    if (page.records.length === 0) keys.noteProof(sentAtMs);
  }).pipe(
    Effect.catch(({ message }) => {
      record("keys.proof-failed", { message });
      return Effect.sleep(PROOF_RETRY_DELAY_MS);
    }),
  );
  return Effect.forever(
    Effect.suspend(() => state.needsProof ? prove : Effect.void)
      .pipe(Effect.andThen(Effect.sleep(PROOF_CHECK_INTERVAL_MS))),
  );
}
