import type { InstanceLoad } from "./call.ts";

/** Decay time of a reported load, as requests of other machines end. */
const REPORTED_LOAD_DECAY_MS = 1_500;
/** Time for which the upper bound takes a reported load without decay. */
const REPORTED_LOAD_VALID_MS = 700;
/** Decay time of the failure rate. */
const FAILURE_DECAY_MS = 4_000;
const FAILURE_WEIGHT = 0.3;
/**
 * Time for which a reported queue is used to predict waits. With 62 processes, a
 * head gets a request from each of them about every 5 s. A stalled head is
 * detected sooner by processes that have streams there.
 */
const REPORTED_QUEUE_VALID_MS = 10_000;

interface InstanceWork {
  inFlight: number;
  /** Requests running and waiting at the last report. */
  reportedWork: number;
  reportedAtMs: number;
  reportedLoad: InstanceLoad | undefined;
  /** Requests that this process sent less those that ended since the report. */
  changeSinceReport: number;
  /** 0 to 1. */
  failureRate: number;
  outcomeAtMs: number;
  avoidUntilMs: number;
}

/** A load and the time of its report. */
export interface ReportedLoad extends InstanceLoad {
  readonly reportedAtMs: number;
}

/** Load of each instance: reported by responses, adjusted by own requests. */
export class LoadTracker {
  readonly #work = new Map<string, InstanceWork>();

  noteSent(instanceId: string): void {
    const work = this.#getWork(instanceId);
    work.inFlight += 1;
    work.changeSinceReport += 1;
  }

  noteEnded(instanceId: string): void {
    const work = this.#getWork(instanceId);
    work.inFlight -= 1;
    work.changeSinceReport -= 1;
  }

  noteLoad(instanceId: string, load: InstanceLoad, nowMs: number): void {
    const work = this.#getWork(instanceId);
    work.reportedWork = load.running + load.waiting;
    work.reportedAtMs = nowMs;
    work.reportedLoad = load;
    work.changeSinceReport = 0;
  }

  /**
   * Returns an instance's last reported load, unless it is too old. Requests that
   * this process sent since and that find no free slot count as waiting.
   */
  reportedLoad(instanceId: string, nowMs: number): ReportedLoad | undefined {
    const work = this.#work.get(instanceId);
    if (work?.reportedLoad === undefined) return undefined;
    if (nowMs - work.reportedAtMs >= REPORTED_QUEUE_VALID_MS) return undefined;
    const { running, waiting, slots } = work.reportedLoad;
    const excess = work.reportedWork + work.changeSinceReport - slots;
    const isFull = running + waiting >= slots;
    return {
      running,
      waiting: isFull ? Math.max(waiting, excess) : waiting,
      slots,
      reportedAtMs: work.reportedAtMs,
    };
  }

  /** Records whether an attempt failed in a way that counts against the instance. */
  noteOutcome(
    instanceId: string,
    outcome: { readonly hasFailed: boolean; readonly nowMs: number },
  ): void {
    const work = this.#getWork(instanceId);
    work.failureRate = this.#failureRate(work, outcome.nowMs) *
        (1 - FAILURE_WEIGHT) + (outcome.hasFailed ? FAILURE_WEIGHT : 0);
    work.outcomeAtMs = outcome.nowMs;
  }

  /** Avoids an instance until a time, while others can take its requests. */
  avoidUntil(instanceId: string, atMs: number): void {
    const work = this.#getWork(instanceId);
    work.avoidUntilMs = Math.max(work.avoidUntilMs, atMs);
  }

  isAvoided(instanceId: string, nowMs: number): boolean {
    return (this.#work.get(instanceId)?.avoidUntilMs ?? 0) > nowMs;
  }

  /** Forgets failures that came from this process's own links. */
  forgetFailures(isAffected: (instanceId: string) => boolean): void {
    for (const [instanceId, work] of this.#work) {
      if (!isAffected(instanceId)) continue;
      work.failureRate = 0;
      work.avoidUntilMs = 0;
    }
  }

  /** Requests that this process has in flight at an instance. */
  countInFlight(instanceId: string): number {
    return this.#work.get(instanceId)?.inFlight ?? 0;
  }

  /** Estimated number of requests that run or wait at an instance. */
  estimate(instanceId: string, nowMs: number): number {
    const work = this.#work.get(instanceId);
    if (work === undefined) return 0;
    const decay = Math.exp(
      -(nowMs - work.reportedAtMs) / REPORTED_LOAD_DECAY_MS,
    );
    const reported = (work.reportedWork + work.changeSinceReport) * decay;
    return Math.max(work.inFlight, reported);
  }

  /** Upper bound of the estimate, as if no recently reported request had ended. */
  estimateUpperBound(instanceId: string, nowMs: number): number {
    const work = this.#work.get(instanceId);
    if (work === undefined) return 0;
    const isRecent = nowMs - work.reportedAtMs < REPORTED_LOAD_VALID_MS;
    return isRecent
      ? Math.max(work.inFlight, work.reportedWork + work.changeSinceReport)
      : this.estimate(instanceId, nowMs);
  }

  /** Share of recent attempts that failed, 0 to 1. */
  failureRate(instanceId: string, nowMs: number): number {
    const work = this.#work.get(instanceId);
    return work === undefined ? 0 : this.#failureRate(work, nowMs);
  }

  /** Removes instances that are gone and have no requests of this process. */
  keepOnly(isPresent: (instanceId: string) => boolean): void {
    for (const [instanceId, work] of this.#work) {
      if (work.inFlight === 0 && !isPresent(instanceId)) {
        this.#work.delete(instanceId);
      }
    }
  }

  #failureRate(work: InstanceWork, nowMs: number): number {
    return work.failureRate *
      Math.exp(-(nowMs - work.outcomeAtMs) / FAILURE_DECAY_MS);
  }

  #getWork(instanceId: string): InstanceWork {
    let work = this.#work.get(instanceId);
    if (work === undefined) {
      work = {
        inFlight: 0,
        reportedWork: 0,
        reportedAtMs: 0,
        reportedLoad: undefined,
        changeSinceReport: 0,
        failureRate: 0,
        outcomeAtMs: 0,
        avoidUntilMs: 0,
      };
      this.#work.set(instanceId, work);
    }
    return work;
  }
}
