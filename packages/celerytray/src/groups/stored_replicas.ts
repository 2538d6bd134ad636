import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import type { ControllerState } from "./controller_state.ts";
import { findLostReplicas } from "./find_lost_replicas.ts";
import type { EngineSpecs } from "./formation_planner.ts";
import type { ReplicaRecord } from "./replica_record.ts";
import { noteRecordFailure, type ReplicaRecorder } from "./replica_recorder.ts";
import type { ReplicaRun } from "./replica_progress.ts";

/** Dependencies of the replicas' records. */
export interface StoredReplicasOptions {
  readonly state: ControllerState;
  readonly recorder: ReplicaRecorder;
  /** Engine specifications of the model services. */
  readonly engines: () => EngineSpecs;
  readonly record: RecordEvent;
}

/** Keeps the store's records of replicas in step with the replicas. */
export class StoredReplicas {
  readonly #options: StoredReplicasOptions;
  /** Names of replicas whose record is being removed. */
  readonly #retiringNames = new Set<string>();
  /** Names of replicas whose lost record is being stored again. */
  readonly #restoringNames = new Set<string>();

  constructor(options: StoredReplicasOptions) {
    this.#options = options;
  }

  /** Whether a record is being removed. */
  get isRetiring(): boolean {
    return this.#retiringNames.size > 0;
  }

  /** Effects that store the records again that the store has lost. */
  restoreLost(nowMs: number): readonly Effect.Effect<void>[] {
    const { state, engines } = this.#options;
    const { complete, incomplete } = findLostReplicas({
      state,
      engines: engines(),
      nowMs,
    });
    for (const name of incomplete) state.giveUp(name);
    return complete.filter(({ name }) => !this.#restoringNames.has(name))
      .map((replica) => this.#restore(replica));
  }

  /** Effects that remove the record of a replica that is retired. */
  retire(run: ReplicaRun): readonly Effect.Effect<void>[] {
    const { recorder, record } = this.#options;
    const { name } = run.record;
    if (this.#retiringNames.has(name)) return [];
    this.#retiringNames.add(name);
    return [
      recorder.retire(name).pipe(
        Effect.matchEffect({
          onSuccess: () => Effect.sync(() => this.#forget(run)),
          onFailure: ({ message }) =>
            noteRecordFailure(record, { replica: name, message }),
        }),
        Effect.ensuring(Effect.sync(() => {
          this.#retiringNames.delete(name);
        })),
      ),
    ];
  }

  #restore(replica: ReplicaRecord): Effect.Effect<void> {
    const { state, recorder, record } = this.#options;
    const { name } = replica;
    this.#restoringNames.add(name);
    return recorder.restore(replica).pipe(
      Effect.matchEffect({
        onSuccess: () =>
          Effect.sync(() => {
            state.addReplica(replica);
            record("replica.restored", { replica: name });
          }),
        onFailure: ({ message }) =>
          noteRecordFailure(record, { replica: name, message }),
      }),
      Effect.ensuring(Effect.sync(() => {
        this.#restoringNames.delete(name);
      })),
    );
  }

  #forget({ record: { name }, retirement }: ReplicaRun): void {
    const { state, record } = this.#options;
    state.runs.delete(name);
    // The list may still show its members.
    state.giveUp(name);
    if (retirement?.hasHeadLeft === true) state.departures.noteHeadLeft(name);
    record("replica.retired", { replica: name });
  }
}
