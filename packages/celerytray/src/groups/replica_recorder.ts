import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import type { Formation } from "./divide_pool.ts";
import type { ReplicaRecord } from "./replica_record.ts";

/** Stores replica records; fails once another process is the leader. */
export interface ReplicaRecorder {
  /** Stores the record of a new replica and returns it with its epoch. */
  form(formation: Formation): Effect.Effect<ReplicaRecord, RecordFailure>;
  /** Stores the record of a replica that was formed earlier once more. */
  restore(replica: ReplicaRecord): Effect.Effect<void, RecordFailure>;
  /** Removes the record of a replica. */
  retire(name: string): Effect.Effect<void, RecordFailure>;
  /** Succeeds if the store answers and this process still leads. */
  confirm(): Effect.Effect<void, RecordFailure>;
}

/** A record was not stored; the controller stops if it is deposed. */
export interface RecordFailure {
  readonly message: string;
}

/** Delay before a record that was not stored is retried. */
const RECORD_RETRY_MS = 700;

/** Records the event that a record was not stored, and waits before a retry. */
export function noteRecordFailure(
  record: RecordEvent,
  failure: { readonly replica: string; readonly message: string },
): Effect.Effect<void> {
  return Effect.sync(() => record("replica.record-failed", { ...failure }))
    .pipe(Effect.andThen(Effect.sleep(RECORD_RETRY_MS)));
}
