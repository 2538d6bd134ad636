import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import type { Formation } from "./divide_pool.ts";
import type { ReplicaRecord } from "./replica_record.ts";

/** Records of replicas; each fails once another process decides. */
export interface ReplicaRecorder {
  /** Stores a replica and returns it with its epoch. */
  form(formation: Formation): Effect.Effect<ReplicaRecord, RecordFailure>;
  retire(name: string): Effect.Effect<void, RecordFailure>;
}

/** A record was not stored; the director stops if it lost the lead. */
export interface RecordFailure {
  readonly message: string;
}

/** Wait before a record that was not stored is tried again. */
const RECORD_RETRY_MS = 700;

/** Records that a replica's record was not stored, and waits. */
export function noteRecordFailure(
  record: RecordEvent,
  failure: { readonly replica: string; readonly message: string },
): Effect.Effect<void> {
  return Effect.sync(() => record("replica.record-failed", { ...failure }))
    .pipe(Effect.andThen(Effect.sleep(RECORD_RETRY_MS)));
}
