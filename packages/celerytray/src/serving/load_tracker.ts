import type { InstanceLoad } from "./call.ts";

/** Time over which a told load fades, as other machines' work ends. */
const TOLD_LOAD_FADE_MS = 1_500;
/** Time for which what an instance told is taken as it was. */
const FULL_MEMORY_MS = 700;
/** Time over which failures are forgotten. */
const FAILURE_FADE_MS = 4_000;
const FAILURE_WEIGHT = 0.3;
/**
 * Time for which a told queue explains waits. At 62 processes a head gets a
 * request from each of them every 5 s or so; a head that stands still is seen
 * sooner by processes that have streams there.
 */
const QUEUE_MEMORY_MS = 10_000;

interface InstanceWork {
  inFlight: number;
  /** Requests running and waiting, as told. */
  toldWork: number;
  toldAtMs: number;
  toldLoad: InstanceLoad | undefined;
  /** Requests sent and ended here since it was told. */
  changeSinceTold: number;
  /** 0 to 1. */
  failureShare: number;
  failedAtMs: number;
  avoidUntilMs: number;
}

/** A load and when it was told. */
export interface ToldLoad extends InstanceLoad {
  readonly toldAtMs: number;
}

/** Work at each instance: told by answers, corrected by what is sent here. */
export class LoadTracker {
  readonly #work = new Map<string, InstanceWork>();

  noteSent(instanceId: string): void {
    const work = this.#workOf(instanceId);
    work.inFlight += 1;
    work.changeSinceTold += 1;
  }

  noteEnded(instanceId: string): void {
    const work = this.#workOf(instanceId);
    work.inFlight -= 1;
    work.changeSinceTold -= 1;
  }

  noteLoad(instanceId: string, load: InstanceLoad, nowMs: number): void {
    const work = this.#workOf(instanceId);
    work.toldWork = load.running + load.waiting;
    work.toldAtMs = nowMs;
    work.toldLoad = load;
    work.changeSinceTold = 0;
  }

  /**
   * Load that an instance told of last, if that was lately; what was sent from
   * here since and finds no free slot counts as waiting.
   */
  toldLoad(instanceId: string, nowMs: number): ToldLoad | undefined {
    const work = this.#work.get(instanceId);
    if (work?.toldLoad === undefined) return undefined;
    if (nowMs - work.toldAtMs >= QUEUE_MEMORY_MS) return undefined;
    const { running, waiting, slots } = work.toldLoad;
    const excess = work.toldWork + work.changeSinceTold - slots;
    const isFull = running + waiting >= slots;
    return {
      running,
      waiting: isFull ? Math.max(waiting, excess) : waiting,
      slots,
      toldAtMs: work.toldAtMs,
    };
  }

  /** Takes note of whether an attempt succeeded, as far as the instance counts. */
  noteOutcome(
    instanceId: string,
    outcome: { readonly hasFailed: boolean; readonly nowMs: number },
  ): void {
    const work = this.#workOf(instanceId);
    work.failureShare = this.#failureShare(work, outcome.nowMs) *
        (1 - FAILURE_WEIGHT) + (outcome.hasFailed ? FAILURE_WEIGHT : 0);
    work.failedAtMs = outcome.nowMs;
  }

  /** Sends nothing to an instance until a time, where others can take it. */
  avoidUntil(instanceId: string, atMs: number): void {
    const work = this.#workOf(instanceId);
    work.avoidUntilMs = Math.max(work.avoidUntilMs, atMs);
  }

  isAvoided(instanceId: string, nowMs: number): boolean {
    return (this.#work.get(instanceId)?.avoidUntilMs ?? 0) > nowMs;
  }

  /** Requests that this process has at an instance. */
  countInFlight(instanceId: string): number {
    return this.#work.get(instanceId)?.inFlight ?? 0;
  }

  /** Requests thought to run or wait at an instance. */
  estimate(instanceId: string, nowMs: number): number {
    const work = this.#work.get(instanceId);
    if (work === undefined) return 0;
    const fade = Math.exp(-(nowMs - work.toldAtMs) / TOLD_LOAD_FADE_MS);
    const told = (work.toldWork + work.changeSinceTold) * fade;
    return Math.max(work.inFlight, told);
  }

  /** The same, as if nothing that it told of lately were done. */
  estimateUpperBound(instanceId: string, nowMs: number): number {
    const work = this.#work.get(instanceId);
    if (work === undefined) return 0;
    const isRecent = nowMs - work.toldAtMs < FULL_MEMORY_MS;
    return isRecent
      ? Math.max(work.inFlight, work.toldWork + work.changeSinceTold)
      : this.estimate(instanceId, nowMs);
  }

  /** Share of attempts that failed lately. */
  failureShare(instanceId: string, nowMs: number): number {
    const work = this.#work.get(instanceId);
    return work === undefined ? 0 : this.#failureShare(work, nowMs);
  }

  /** Forgets instances that are gone and have no work from here. */
  keepOnly(isPresent: (instanceId: string) => boolean): void {
    for (const [instanceId, work] of this.#work) {
      if (work.inFlight === 0 && !isPresent(instanceId)) {
        this.#work.delete(instanceId);
      }
    }
  }

  #failureShare(work: InstanceWork, nowMs: number): number {
    return work.failureShare *
      Math.exp(-(nowMs - work.failedAtMs) / FAILURE_FADE_MS);
  }

  #workOf(instanceId: string): InstanceWork {
    let work = this.#work.get(instanceId);
    if (work === undefined) {
      work = {
        inFlight: 0,
        toldWork: 0,
        toldAtMs: 0,
        toldLoad: undefined,
        changeSinceTold: 0,
        failureShare: 0,
        failedAtMs: 0,
        avoidUntilMs: 0,
      };
      this.#work.set(instanceId, work);
    }
    return work;
  }
}
