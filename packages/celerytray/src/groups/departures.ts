import type { InstanceState } from "./instance_state.ts";
import type { ReplicaRun } from "./replica_run.ts";

/** Time after which the list tells what an instance was ordered. */
const LIST_LAG_MS = 1_000;

/** Which replicas are surely gone, and which instances have left theirs. */
export class Departures {
  readonly #runs: ReadonlyMap<string, ReplicaRun>;
  /** Replicas whose head can't be open any more. */
  readonly #dissolved = new Set<string>();
  /** Newest replica that an instance has left, by its epoch. */
  readonly #leftEpochs = new Map<string, number>();
  readonly #orphanSinceMs = new Map<string, number>();

  constructor(runs: ReadonlyMap<string, ReplicaRun>) {
    this.#runs = runs;
  }

  /** Takes note that a replica's head has left it. */
  noteDissolved(replica: string): void {
    this.#dissolved.add(replica);
  }

  /** Takes note that an instance has left a replica. */
  noteLeft(instanceId: string, epoch: number): void {
    this.#leftEpochs.set(instanceId, epoch);
  }

  /** Whether an instance may be the open head of a replica. */
  mayServe(instance: InstanceState): boolean {
    const state = instance.membership?.state;
    return (state === "open" || state === "closing") &&
      !this.#hasLeft(instance);
  }

  /**
   * Whether an instance is a member of a replica that no record tells of, and
   * whose head may still be open out of reach.
   */
  isStray(instance: InstanceState): boolean {
    const { membership } = instance;
    if (membership === undefined || membership.rank === 0) return false;
    const { replica } = membership;
    return !this.#runs.has(replica) && !this.#dissolved.has(replica) &&
      !this.#hasLeft(instance);
  }

  /** Whether an instance is the open head of a replica without a record. */
  isOrphan(instance: InstanceState): boolean {
    const { membership } = instance;
    if (membership?.rank !== 0 || !this.mayServe(instance)) return false;
    return this.#runs.get(membership.replica)?.record.epoch !==
      membership.epoch;
  }

  /** Open heads that were without a record for longer than the list lags. */
  takeLastingOrphans(
    orphans: readonly InstanceState[],
    nowMs: number,
  ): readonly InstanceState[] {
    const ids = new Set(orphans.map(({ id }) => id));
    for (const id of [...this.#orphanSinceMs.keys()]) {
      if (!ids.has(id)) this.#orphanSinceMs.delete(id);
    }
    return orphans.filter(({ id }) => {
      const sinceMs = this.#orphanSinceMs.get(id) ?? nowMs;
      this.#orphanSinceMs.set(id, sinceMs);
      return nowMs - sinceMs >= LIST_LAG_MS;
    });
  }

  /** The list may still tell what was before an instance left. */
  #hasLeft({ id, membership }: InstanceState): boolean {
    return membership !== undefined &&
      membership.epoch <= (this.#leftEpochs.get(id) ?? -1);
  }
}
