import { Effect } from "effect";
import { steadyMs } from "../clock/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import { noteRecordFailure, type ReplicaRecorder } from "./replica_recorder.ts";
import type { ReplicaRun } from "./replica_progress.ts";
import { retireReplica } from "./replica_run.ts";

/** Why a replica is given up, and dependencies. */
export interface GiveUpOptions {
  readonly reason: string;
  readonly recorder: Pick<ReplicaRecorder, "confirm">;
  readonly record: RecordEvent;
}

/**
 * Retires a replica that still serves, in favour of others. It keeps serving if
 * the store does not answer, as nothing could be formed from its members.
 */
export function giveUpReplica(
  run: ReplicaRun,
  { reason, recorder, record }: GiveUpOptions,
): Effect.Effect<void> {
  return recorder.confirm().pipe(
    Effect.matchEffect({
      onSuccess: () =>
        Effect.map(steadyMs, (nowMs) => {
          if (run.retirement !== undefined) return;
          retireReplica(run, { reason, nowMs, record });
        }),
      onFailure: ({ message }) =>
        noteRecordFailure(record, { replica: run.record.name, message }),
    }),
  );
}
