import { Effect } from "effect";
import type { RecordFailure, ReplicaRecord } from "../groups/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import type { FencedReplicaRecorder } from "./leader_log.ts";

/** Options of the restoring of replica records. */
export interface RecordRestoration {
  /** The replicas that there are, according to the leader. */
  readonly replicas: readonly ReplicaRecord[];
  /** The replicas according to the store. */
  readonly stored: readonly ReplicaRecord[];
  readonly recorder: Pick<FencedReplicaRecorder, "restore" | "retire">;
  readonly record: RecordEvent;
}

/** Delay before a record that was not stored is retried. */
const RETRY_MS = 700;

/**
 * Brings the replica records of a store that came back from an older copy in
 * line with what the leader knows: stores lost records again, under the epochs
 * that the instances know, and removes those of replicas that were retired.
 */
export function restoreRecords(
  { replicas, stored, recorder, record }: RecordRestoration,
): Effect.Effect<void> {
  const lost = replicas.filter((replica) => !stored.some(isSameAs(replica)));
  const outdated = listRetired({ replicas, stored });
  if (lost.length === 0 && outdated.length === 0) return Effect.void;
  const repeat = (
    attempt: Effect.Effect<void, RecordFailure>,
  ): Effect.Effect<void> =>
    Effect.catch(
      attempt,
      ({ message }) =>
        Effect.sync(() => record("lead.restore-failed", { message })).pipe(
          Effect.andThen(Effect.sleep(RETRY_MS)),
          Effect.andThen(Effect.suspend(() => repeat(attempt))),
        ),
    );
  return Effect.forEach([
    ...lost.map((replica) => recorder.restore(replica)),
    ...outdated.map((name) => recorder.retire(name)),
  ], repeat).pipe(
    Effect.andThen(Effect.sync(() =>
      record("lead.restored", {
        restored: lost.map(({ name }) => name),
        removed: outdated,
      })
    )),
  );
}

/** Names of replicas that the store still records and that were retired. */
export function listRetired(
  { replicas, stored }: Pick<RecordRestoration, "replicas" | "stored">,
): readonly string[] {
  const names = new Set(replicas.map(({ name }) => name));
  return stored.map(({ name }) => name).filter((name) => !names.has(name));
}

function isSameAs(
  replica: ReplicaRecord,
): (other: ReplicaRecord) => boolean {
  return ({ name, epoch }) => name === replica.name && epoch === replica.epoch;
}
