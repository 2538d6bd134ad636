import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import { steadyMs } from "../clock/index.ts";
import type { KeyedLog } from "../keyed_log/index.ts";
import type { ConfigView } from "./config_view.ts";
import type { KeyFreshness } from "./key_freshness.ts";

/** What proving that the keys are the newest works with. */
export interface ProofOptions {
  readonly log: KeyedLog;
  readonly config: ConfigView;
  readonly keys: KeyFreshness;
  readonly state: { needsProof: boolean };
  readonly record: RecordEvent;
}

const PROOF_CHECK_MS = 100;
/** Wait before a proof that failed is tried again. */
const PROOF_RETRY_MS = 250;

/** Asks the store at once whether there is a newer configuration. */
export function proveKeys(
  { log, config, keys, state, record }: ProofOptions,
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
      return Effect.sleep(PROOF_RETRY_MS);
    }),
  );
  return Effect.forever(
    Effect.suspend(() => state.needsProof ? prove : Effect.void)
      .pipe(Effect.andThen(Effect.sleep(PROOF_CHECK_MS))),
  );
}
