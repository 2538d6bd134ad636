import type { ServingTarget } from "./choose_target.ts";

/** How a run at a replica ended, as far as it decides what may follow. */
export interface EndedRun {
  /** Whether it had written for a while, which a request that crashes it can't. */
  readonly hasWritten: boolean;
  /** Whether this process ended it. */
  readonly isMoved: boolean;
  readonly nowMs: number;
}

/** A replica at which a request may have run. */
interface RunReplica extends EndedRun {
  readonly target: ServingTarget;
}

/**
 * The replicas at which a request may have run, whose number a route's attempts
 * limit. A stream may go back to one of them, as that adds none. One that has
 * ended no longer counts, unless the request itself may have ended it.
 */
export class ReplicaRuns {
  readonly #byInstance = new Map<string, RunReplica>();
  /** Runs behind other processes, whose replicas are not known. */
  #relayed = 0;
  #hasWritten = false;

  /** Whether it has written for a while anywhere, which shows that it is harmless. */
  get hasWritten(): boolean {
    return this.#hasWritten;
  }

  get count(): number {
    return this.#byInstance.size + this.#relayed;
  }

  /** Number of replicas once the request has run at this one, too. */
  countWith(instanceId: string | undefined): number {
    const isNew = instanceId !== undefined && !this.#byInstance.has(instanceId);
    return this.count + (isNew ? 1 : 0);
  }

  /** Notes a run; what an earlier one at the same replica showed still holds. */
  note(target: ServingTarget, end: EndedRun): void {
    this.#hasWritten ||= end.hasWritten;
    const known = this.#byInstance.get(target.instanceId);
    const earlier = known !== undefined && isSameReplica(known.target, target)
      ? known
      : undefined;
    this.#byInstance.set(target.instanceId, {
      target,
      nowMs: end.nowMs,
      hasWritten: end.hasWritten || earlier?.hasWritten === true,
      isMoved: end.isMoved || earlier?.isMoved === true,
    });
  }

  noteRelayed(runs: number): void {
    this.#relayed += runs;
  }

  /** Notes that an instance has ended. */
  noteEnded(instanceId: string): void {
    if (this.#byInstance.get(instanceId)?.hasWritten === true) {
      this.#byInstance.delete(instanceId);
    }
  }

  /** Stops counting the replicas that no longer serve. */
  keepServing(targets: readonly ServingTarget[]): void {
    for (const { target } of [...this.#byInstance.values()]) {
      const isServing = targets.some((other) => isSameReplica(other, target));
      if (!isServing) this.noteEnded(target.instanceId);
    }
  }

  /** Whether a stream may go on at one of the replicas, or in place of one. */
  get mayGoOn(): boolean {
    return [...this.#byInstance.values()].some(mayReturn);
  }

  /** Time at which it left a replica to which it may go back, if it may. */
  leftAtMs(target: ServingTarget): number | undefined {
    const run = this.#byInstance.get(target.instanceId);
    return run !== undefined && mayReturn(run) &&
        isSameReplica(run.target, target)
      ? run.nowMs
      : undefined;
  }
}

function mayReturn({ hasWritten, isMoved }: EndedRun): boolean {
  return hasWritten || isMoved;
}

function isSameReplica(one: ServingTarget, other: ServingTarget): boolean {
  return one.instanceId === other.instanceId && one.epoch === other.epoch &&
    one.bornAtMs === other.bornAtMs;
}
