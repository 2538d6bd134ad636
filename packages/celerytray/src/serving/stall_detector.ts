import type { QueuedRequest } from "./queue_wait_estimator.ts";
import type { AwaitedEvent } from "./silence_stats.ts";

/** An attempt that waits for an instance's response. */
export interface WatchedAttempt {
  readonly instanceId: string;
  readonly model: string;
  readonly startedAtMs: number;
  /** Whether its response headers have arrived. */
  readonly hasStarted: () => boolean;
  /** Whether its response is not read because its caller is slow. */
  readonly isPaused: () => boolean;
  /** Rank among the attempts that are moved; the highest goes first. */
  readonly rank: () => number;
  /** Ends it if another instance can take the request; returns whether it did. */
  readonly tryMove: (reason: AbandonReason) => boolean;
}

/**
 * Why attempts at an instance are ended and moved to another one; `closing` if
 * its replica is being dissolved.
 */
export type AbandonReason = "stalled" | "slow" | "closing";

/** An instance that makes no progress on any of its attempts. */
export interface SuspectedInstance {
  readonly instanceId: string;
  readonly silentMs: number;
  readonly attempts: number;
  /** Whether it has been silent for so long that its attempts are moved. */
  readonly isStalled: boolean;
}

/** Information that the detector uses beside the attempts. */
export interface StallDetectorOptions {
  /**
   * Expected time in the instance's queue until a request starts; undefined if
   * the instance has no queue.
   */
  readonly queueWaitMs: (
    request: QueuedRequest,
    nowMs: number,
  ) => number | undefined;
  /** Silence that few events of a model exceed; undefined if not known. */
  readonly usualSilenceMs: (
    model: string,
    awaited: AwaitedEvent,
  ) => number | undefined;
  /** Whether this process has lagged recently. */
  readonly isBehind: (nowMs: number) => boolean;
}

/** Options for moving an instance's attempts to others. */
export interface MoveAttemptsOptions {
  readonly reason: AbandonReason;
  readonly nowMs: number;
  /** Whether the leader closed or doubts it, so that all attempts are moved. */
  readonly isClosed?: boolean;
}

/** Silence of a single attempt after which its instance is suspected. */
const SUSPECT_AFTER_MS = 700;
/** Silence of several attempts after which their instance is suspected. */
const SUSPECT_SEVERAL_AFTER_MS = 400;
/**
 * Silence after which new requests avoid an instance, unless it is known how
 * long its model is usually silent.
 */
const AVOID_AFTER_MS = 200;
/** Lower limit of the usual silence after which an instance is avoided. */
const MIN_AVOID_AFTER_MS = 50;
/** Silence of all attempts after which the instance counts as stalled. */
const MOVE_AFTER_MS = 1_100;
/** Upper limit for each of the bounds above plus the expected queue wait. */
const MAX_SILENCE_MS = 3_000;
/** Minimum interval between moves of requests that wait in an instance's queue. */
const QUEUED_MOVE_INTERVAL_MS = 1_000;

/** Detects instances that make no progress on any attempt. */
export class StallDetector {
  readonly #options: StallDetectorOptions;
  readonly #attempts = new Map<string, Set<WatchedAttempt>>();
  readonly #lastProgressAtMs = new Map<string, number>();
  /** Time of the last move of a queued request, by instance. */
  readonly #movedAtMs = new Map<string, number>();
  #lastReadAtMs: number | undefined;

  constructor(options: Partial<StallDetectorOptions> = {}) {
    this.#options = {
      queueWaitMs: () => undefined,
      usualSilenceMs: () => undefined,
      isBehind: () => false,
      ...options,
    };
  }

  /** Watches an attempt until the returned function is called. */
  watch(attempt: WatchedAttempt): () => void {
    const { instanceId } = attempt;
    let attempts = this.#attempts.get(instanceId);
    if (attempts === undefined) {
      attempts = new Set();
      this.#attempts.set(instanceId, attempts);
    }
    attempts.add(attempt);
    return () => {
      attempts.delete(attempt);
      if (attempts.size > 0 || this.#attempts.get(instanceId) !== attempts) {
        return;
      }
      this.#attempts.delete(instanceId);
      this.#lastProgressAtMs.delete(instanceId);
    };
  }

  get hasAttempts(): boolean {
    return this.#attempts.size > 0;
  }

  noteProgress(instanceId: string, nowMs: number): void {
    if (!this.#attempts.has(instanceId)) return;
    this.#lastProgressAtMs.set(instanceId, nowMs);
  }

  /** Time of the last progress of an instance with attempts, if there was any. */
  progressedAtMs(instanceId: string): number | undefined {
    return this.#lastProgressAtMs.get(instanceId);
  }

  /**
   * Records that all connections were read. While the process lags, silence is
   * only measured up to this time, as later progress may still be unread.
   */
  noteRead(nowMs: number): void {
    this.#lastReadAtMs = nowMs;
  }

  /** Whether new requests should avoid an instance. */
  isSilent(instanceId: string, nowMs: number): boolean {
    const silence = this.#findSilence(instanceId, nowMs);
    return silence !== undefined &&
      exceeds(silence, this.#avoidAfterMs(silence));
  }

  #avoidAfterMs({ model, awaited }: Silence): number {
    const usualMs = this.#options.usualSilenceMs(model, awaited);
    return Math.max(MIN_AVOID_AFTER_MS, usualMs ?? AVOID_AFTER_MS);
  }

  /**
   * Returns the instances that make no progress on any of their attempts. At
   * closed heads, and at those that the leader finds silent, no queue explains it.
   */
  findSuspected(
    nowMs: number,
    closedHeads: readonly string[] = [],
    silentHeads: readonly string[] = [],
  ): readonly SuspectedInstance[] {
    const suspected: SuspectedInstance[] = [];
    for (const instanceId of this.#attempts.keys()) {
      const isClosed = closedHeads.includes(instanceId);
      const hasNoQueue = isClosed || silentHeads.includes(instanceId);
      const silence = this.#findSilence(instanceId, nowMs, hasNoQueue);
      if (silence === undefined) continue;
      const { silentMs, attempts } = silence;
      const suspectAfterMs = attempts > 1
        ? SUSPECT_SEVERAL_AFTER_MS
        : SUSPECT_AFTER_MS;
      if (!exceeds(silence, suspectAfterMs)) continue;
      const isStalled = isClosed || exceeds(silence, MOVE_AFTER_MS);
      suspected.push({ instanceId, silentMs, attempts, isStalled });
    }
    return suspected;
  }

  /** Ends those attempts at an instance that another instance can take. */
  moveAttempts(instanceId: string, options: MoveAttemptsOptions): void {
    const attempts = [...this.#attempts.get(instanceId) ?? []];
    const ranked = attempts.map((attempt) => ({
      attempt,
      rank: attempt.rank(),
    })).sort((a, b) => b.rank - a.rank);
    for (const { attempt } of ranked) {
      // What its caller has still to read does not come faster from elsewhere.
      if (options.reason !== "stalled" && attempt.isPaused()) continue;
      const isQueued = !attempt.hasStarted() &&
        this.#isQueued(attempt, options);
      if (isQueued && !this.#mayMoveQueued(instanceId, options.nowMs)) {
        continue;
      }
      const isMoved = attempt.tryMove(options.reason);
      if (isMoved && isQueued) this.#movedAtMs.set(instanceId, options.nowMs);
    }
  }

  /** Removes the state of instances that are gone. */
  keepOnly(isPresent: (instanceId: string) => boolean): void {
    for (const instanceId of this.#movedAtMs.keys()) {
      if (!isPresent(instanceId)) this.#movedAtMs.delete(instanceId);
    }
  }

  #isQueued(
    attempt: WatchedAttempt,
    { nowMs, isClosed = false }: MoveAttemptsOptions,
  ): boolean {
    return !isClosed &&
      this.#findQueueWaitMs([attempt], nowMs) !== undefined;
  }

  #mayMoveQueued(instanceId: string, nowMs: number): boolean {
    const movedAtMs = this.#movedAtMs.get(instanceId) ??
      Number.NEGATIVE_INFINITY;
    return nowMs - movedAtMs >= QUEUED_MOVE_INTERVAL_MS;
  }

  /** Returns undefined if no attempt is evidence of a stall. */
  #findSilence(
    instanceId: string,
    nowMs: number,
    isClosed = false,
  ): Silence | undefined {
    const watched = [...this.#attempts.get(instanceId) ?? []].filter(
      (attempt) => !attempt.isPaused(),
    );
    if (watched.length === 0) return undefined;
    const queueWaitMs = isClosed
      ? undefined
      : this.#findQueueWaitMs(watched, nowMs);
    const started = watched.filter((attempt) => attempt.hasStarted());
    // A queue delays only requests that have not started.
    const isOnlyQueued = queueWaitMs !== undefined && started.length === 0;
    const evidence = queueWaitMs === undefined || isOnlyQueued
      ? watched
      : started;
    const isSingleUnstarted = evidence.length === 1 && started.length === 0;
    const isBehind = this.#options.isBehind(nowMs);
    if (isSingleUnstarted && !isClosed && isBehind) return undefined;
    const observedUntilMs = isBehind ? this.#lastReadAtMs ?? nowMs : nowMs;
    return {
      silentMs: observedUntilMs - Math.max(
        findOldest(evidence).startedAtMs,
        this.#lastProgressAtMs.get(instanceId) ?? Number.NEGATIVE_INFINITY,
      ),
      attempts: evidence.length,
      model: evidence[0]!.model,
      awaited: started.length > 0 ? "next" : "first",
      queueWaitMs: isOnlyQueued ? queueWaitMs : 0,
    };
  }

  /** Returns the expected queue wait of the oldest attempt. */
  #findQueueWaitMs(
    attempts: readonly WatchedAttempt[],
    nowMs: number,
  ): number | undefined {
    const { instanceId, model, startedAtMs } = findOldest(attempts);
    return this.#options.queueWaitMs(
      { instanceId, model, sentAtMs: startedAtMs },
      nowMs,
    );
  }
}

function findOldest(attempts: readonly WatchedAttempt[]): WatchedAttempt {
  return attempts.reduce((oldest, attempt) =>
    attempt.startedAtMs < oldest.startedAtMs ? attempt : oldest
  );
}

interface Silence {
  readonly silentMs: number;
  readonly attempts: number;
  readonly model: string;
  /** What the attempts wait for; the next event if any has had its first one. */
  readonly awaited: AwaitedEvent;
  /** Part of the silence that is expected from the instance's queue. */
  readonly queueWaitMs: number;
}

/** Whether a silence exceeds a bound plus the expected queue wait. */
function exceeds({ silentMs, queueWaitMs }: Silence, boundMs: number): boolean {
  return silentMs >= Math.min(MAX_SILENCE_MS, boundMs + queueWaitMs);
}
