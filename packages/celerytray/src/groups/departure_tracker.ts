import type { InstanceState } from "./instance_state.ts";
import type { ReplicaRun } from "./replica_progress.ts";

/** Maximum time until the list reflects what an instance was ordered. */
const MAX_LIST_LAG_MS = 1_000;

/** An open head of a replica without a record. */
export interface PersistentOrphan {
  readonly head: InstanceState;
  /** Time at which it was first seen so. */
  readonly sinceMs: number;
}

/** Tracks heads and members that have left their replicas. */
export class DepartureTracker {
  readonly #runs: ReadonlyMap<string, ReplicaRun>;
  /** Names of replicas whose head has left, so that none is open. */
  readonly #headlessReplicas = new Set<string>();
  /** Epoch of the newest replica that an instance has left. */
  readonly #leftEpochs = new Map<string, number>();
  /** Time at which a head was first seen orphaned. */
  readonly #orphanSinceMs = new Map<string, number>();
  /** Epoch of the orphaned replica that a head is to close. */
  readonly #closingEpochs = new Map<string, number>();

  constructor(runs: ReadonlyMap<string, ReplicaRun>) {
    this.#runs = runs;
  }

  /** Notes that the head of a replica has left it. */
  noteHeadLeft(replica: string): void {
    this.#headlessReplicas.add(replica);
  }

  /** Notes that an instance has left the replica with this epoch. */
  noteLeft(instanceId: string, epoch: number): void {
    this.#leftEpochs.set(instanceId, epoch);
  }

  /** Whether an instance may still be the open head of a replica. */
  mayBeOpenHead(instance: InstanceState): boolean {
    const state = instance.membership?.state;
    return (state === "open" || state === "closing") &&
      !this.#hasLeft(instance);
  }

  /**
   * Whether an instance is a member of a replica without a record, whose head
   * may be unreachable and still open.
   */
  isOrphaned(instance: InstanceState): boolean {
    const { membership } = instance;
    if (membership === undefined || membership.rank === 0) return false;
    const { replica } = membership;
    return !this.#runs.has(replica) && !this.#headlessReplicas.has(replica) &&
      !this.#hasLeft(instance);
  }

  /** Whether an instance is the open head of a replica without a record. */
  isOrphanHead(instance: InstanceState): boolean {
    const { membership } = instance;
    if (membership?.rank !== 0 || !this.mayBeOpenHead(instance)) return false;
    return this.#runs.get(membership.replica)?.record.epoch !==
      membership.epoch;
  }

  /** Whether an instance has closed as the head of a replica without a record. */
  isClosedOrphan(instance: InstanceState): boolean {
    const { id, membership } = instance;
    return membership?.rank === 0 && membership.state === "ready" &&
      membership.epoch === this.#closingEpochs.get(id) &&
      !this.#hasLeft(instance);
  }

  /** Heads that have been orphaned for longer than the list can lag. */
  takePersistentOrphans(
    orphans: readonly InstanceState[],
    nowMs: number,
  ): readonly PersistentOrphan[] {
    const ids = new Set(orphans.map(({ id }) => id));
    for (const id of [...this.#orphanSinceMs.keys()]) {
      if (!ids.has(id)) this.#orphanSinceMs.delete(id);
    }
    return orphans.flatMap((head) => {
      const sinceMs = this.#orphanSinceMs.get(head.id) ?? nowMs;
      this.#orphanSinceMs.set(head.id, sinceMs);
      if (nowMs - sinceMs < MAX_LIST_LAG_MS) return [];
      this.#closingEpochs.set(head.id, head.membership!.epoch);
      return [{ head, sinceMs }];
    });
  }

  /** Whether an instance has left the replica that the list still shows. */
  #hasLeft({ id, membership }: InstanceState): boolean {
    return membership !== undefined &&
      membership.epoch <= (this.#leftEpochs.get(id) ?? -1);
  }
}
