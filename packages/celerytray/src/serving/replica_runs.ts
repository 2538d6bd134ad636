import type { ServingTarget } from "./choose_target.ts";
import { createIncarnationKey } from "./incarnation_key.ts";

/** How a run at a replica ended, as far as it decides what may follow. */
export interface EndedRun {
  /** Whether it had written for a while, which a request that crashes it can't. */
  readonly hasWritten: boolean;
  /** Whether this process ended it. */
  readonly isMoved: boolean;
  /** Whether its instance was found alive right after it. */
  readonly isAlive: boolean;
  readonly nowMs: number;
}

/** A replica at which a request may have run. */
interface RunReplica extends EndedRun {
  readonly epoch: number;
}

/** Runs of a request that were ended by orders and are not counted. */
const MAX_UNCOUNTED_RUNS = 1;

/**
 * The replicas at which a request may have run, whose number a route's attempts
 * limit. A stream may go back to one of them, as that adds none. One run that an
 * order or the end of a gateway of this system has ended is not counted.
 */
export class ReplicaRuns {
  readonly #byIncarnation = new Map<string, RunReplica>();
  /** Runs behind other processes, whose replicas are not known. */
  #relayed = 0;
  #uncounted = 0;
  #hasWritten = false;

  /** Whether it has written for a while anywhere, so that it is harmless. */
  get hasWritten(): boolean {
    return this.#hasWritten;
  }

  get count(): number {
    return this.#byIncarnation.size + this.#relayed - this.#uncounted;
  }

  /** Number of replicas once the request has run at this one, too. */
  countWith(target: ServingTarget): number {
    const isNew = !this.#byIncarnation.has(createIncarnationKey(target));
    return this.count + (isNew ? 1 : 0);
  }

  /** Notes a run; that an earlier one there has written still holds. */
  note(target: ServingTarget, end: EndedRun): void {
    this.#hasWritten ||= end.hasWritten;
    const key = createIncarnationKey(target);
    const { epoch } = target;
    const earlier = this.#byIncarnation.get(key);
    const hadWritten = earlier?.epoch === epoch && earlier.hasWritten;
    const hasWritten = end.hasWritten || hadWritten;
    this.#byIncarnation.set(key, { ...end, hasWritten, epoch });
  }

  noteRelayed(runs: number): void {
    this.#relayed += runs;
  }

  /** Notes that the last run was ended by an order or by its gateway's end. */
  noteOrdered(): void {
    this.#uncounted = Math.min(MAX_UNCOUNTED_RUNS, this.#uncounted + 1);
  }

  /** Whether a stream may go on at one of the replicas. */
  get mayReturn(): boolean {
    return [...this.#byIncarnation.values()].some(isHarmless);
  }

  /** Time at which it left a replica to which it may go back, if it may. */
  leftAtMs(target: ServingTarget): number | undefined {
    const run = this.#byIncarnation.get(createIncarnationKey(target));
    return run !== undefined && run.epoch === target.epoch && isHarmless(run)
      ? run.nowMs
      : undefined;
  }
}

/** Names a replica and the life of its head. */
export function nameReplica(target: ServingTarget): string {
  return `${createIncarnationKey(target)} ${target.epoch}`;
}

/** Whether a replica is known not to have been harmed by the request. */
function isHarmless({ hasWritten, isMoved, isAlive }: EndedRun): boolean {
  return hasWritten || isMoved || isAlive;
}
