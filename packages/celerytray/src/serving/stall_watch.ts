import type { QueuedRequest } from "./queue_wait.ts";

/** An attempt that waits for an instance. */
export interface WatchedAttempt {
  readonly instanceId: string;
  readonly model: string;
  readonly startedAtMs: number;
  /** Whether the head of its answer came. */
  readonly hasStarted: () => boolean;
  /** Whether its answer isn't read, as its caller is slow. */
  readonly isPaused: () => boolean;
  /** Rank among those that are moved; the highest goes first. */
  readonly rank: () => number;
  /** Ends it if the request is sure to go on elsewhere; whether it did. */
  readonly tryMove: (reason: AbandonReason) => boolean;
}

/** Why requests are moved off an instance. */
export type AbandonReason = "stalled" | "slow";

/** An instance whose attempts all stand still. */
export interface SuspectedInstance {
  readonly instanceId: string;
  readonly silentMs: number;
  readonly attempts: number;
  /** Whether it is silent for so long that its attempts are moved. */
  readonly isStalled: boolean;
}

/** What the watch knows beside the attempts. */
export interface StallWatchOptions {
  /**
   * Time for which an instance's queue explains that requests don't start;
   * undefined where it has none.
   */
  readonly queueWaitMs: (
    request: QueuedRequest,
    nowMs: number,
  ) => number | undefined;
  /** Whether this process was late with its own work lately. */
  readonly isBehind: (nowMs: number) => boolean;
}

/** How attempts are moved off an instance. */
export interface MoveAwayOptions {
  readonly reason: AbandonReason;
  readonly nowMs: number;
  /** Whether the lead closed the instance, so that all attempts are moved. */
  readonly isClosed?: boolean;
}

/** Silence of a single attempt after which its instance is doubted. */
const DOUBT_AFTER_MS = 700;
/** Silence of several attempts after which their instance is doubted. */
const DOUBT_SEVERAL_AFTER_MS = 400;
/** Silence after which new requests go elsewhere, where they can. */
const PASS_OVER_AFTER_MS = 200;
/** Silence of all attempts after which they are moved where they can be. */
const MOVE_AFTER_MS = 1_100;
/** Longest silence that a queue explains, the bounds above included. */
const MAX_EXPLAINED_MS = 3_000;
/** Interval between moves of requests that wait in an instance's queue. */
const QUEUED_MOVE_INTERVAL_MS = 1_000;

/** Watches at which instances any attempt makes progress. */
export class StallDetector {
  readonly #options: StallWatchOptions;
  readonly #attempts = new Map<string, Set<WatchedAttempt>>();
  readonly #progressedAtMs = new Map<string, number>();
  /** Last move of a queued request, by instance. */
  readonly #movedAtMs = new Map<string, number>();
  #readAtMs: number | undefined;

  constructor(options: Partial<StallWatchOptions> = {}) {
    this.#options = {
      queueWaitMs: () => undefined,
      isBehind: () => false,
      ...options,
    };
  }

  /** Watches an attempt until the returned function is called. */
  begin(attempt: WatchedAttempt): () => void {
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
      this.#progressedAtMs.delete(instanceId);
    };
  }

  get hasAttempts(): boolean {
    return this.#attempts.size > 0;
  }

  noteProgress(instanceId: string, nowMs: number): void {
    if (!this.#attempts.has(instanceId)) return;
    this.#progressedAtMs.set(instanceId, nowMs);
  }

  /**
   * Takes note that all connections were read. While the process is behind,
   * silence counts up to this time only, as progress may lie unread after it.
   */
  noteRead(nowMs: number): void {
    this.#readAtMs = nowMs;
  }

  /** Whether new requests should rather go elsewhere. */
  isSilent(instanceId: string, nowMs: number): boolean {
    const silence = this.#silenceOf(instanceId, nowMs);
    return silence !== undefined &&
      isOver(silence, PASS_OVER_AFTER_MS);
  }

  /** Instances that are silent towards all their attempts. */
  findSuspected(
    nowMs: number,
    closedHeads: readonly string[] = [],
  ): readonly SuspectedInstance[] {
    const stalled: SuspectedInstance[] = [];
    for (const instanceId of this.#attempts.keys()) {
      const isClosed = closedHeads.includes(instanceId);
      const silence = this.#silenceOf(instanceId, nowMs, isClosed);
      if (silence === undefined) continue;
      const { silentMs, attempts } = silence;
      const doubtAfterMs = attempts > 1
        ? DOUBT_SEVERAL_AFTER_MS
        : DOUBT_AFTER_MS;
      if (!isOver(silence, doubtAfterMs)) continue;
      const isToLeave = isClosed || isOver(silence, MOVE_AFTER_MS);
      stalled.push({ instanceId, silentMs, attempts, isStalled: isToLeave });
    }
    return stalled;
  }

  /** Ends those attempts at an instance that can go on elsewhere. */
  moveAttempts(instanceId: string, options: MoveAwayOptions): void {
    const attempts = [...this.#attempts.get(instanceId) ?? []];
    const ranked = attempts.map((attempt) => ({
      attempt,
      rank: attempt.rank(),
    })).sort((a, b) => b.rank - a.rank);
    for (const { attempt } of ranked) {
      const isLimited = !attempt.hasStarted() &&
        this.#isLimited(attempt, options);
      if (isLimited && !this.#mayMoveQueued(instanceId, options.nowMs)) {
        continue;
      }
      const isMoved = attempt.tryMove(options.reason);
      if (isMoved && isLimited) this.#movedAtMs.set(instanceId, options.nowMs);
    }
  }

  /** Forgets instances that are gone. */
  keepOnly(isPresent: (instanceId: string) => boolean): void {
    for (const instanceId of this.#movedAtMs.keys()) {
      if (!isPresent(instanceId)) this.#movedAtMs.delete(instanceId);
    }
  }

  #isLimited(
    attempt: WatchedAttempt,
    { nowMs, isClosed = false }: MoveAwayOptions,
  ): boolean {
    return !isClosed &&
      this.#explainedMs([attempt], nowMs) !== undefined;
  }

  #mayMoveQueued(instanceId: string, nowMs: number): boolean {
    const movedAtMs = this.#movedAtMs.get(instanceId) ??
      Number.NEGATIVE_INFINITY;
    return nowMs - movedAtMs >= QUEUED_MOVE_INTERVAL_MS;
  }

  /** Undefined where nothing that stands still is evidence. */
  #silenceOf(
    instanceId: string,
    nowMs: number,
    isClosed = false,
  ): Silence | undefined {
    const watched = [...this.#attempts.get(instanceId) ?? []].filter(
      (attempt) => !attempt.isPaused(),
    );
    if (watched.length === 0) return undefined;
    const explainedMs = isClosed
      ? undefined
      : this.#explainedMs(watched, nowMs);
    const started = watched.filter((attempt) => attempt.hasStarted());
    // A queue holds back requests that have not started, and only those.
    const isQueue = explainedMs !== undefined && started.length === 0;
    const evidence = explainedMs === undefined || isQueue ? watched : started;
    const isLoneWait = evidence.length === 1 && started.length === 0;
    const isBehind = this.#options.isBehind(nowMs);
    if (isLoneWait && !isClosed && isBehind) return undefined;
    const judgedAtMs = isBehind ? this.#readAtMs ?? nowMs : nowMs;
    return {
      silentMs: judgedAtMs - Math.max(
        findOldest(evidence).startedAtMs,
        this.#progressedAtMs.get(instanceId) ?? Number.NEGATIVE_INFINITY,
      ),
      attempts: evidence.length,
      explainedMs: isQueue ? explainedMs : 0,
    };
  }

  /** What the queue explains of the longest wait among attempts. */
  #explainedMs(
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
  /** Part of the silence that the instance's queue explains. */
  readonly explainedMs: number;
}

/** Whether a silence lasts longer than a bound and what the queue explains. */
function isOver({ silentMs, explainedMs }: Silence, boundMs: number): boolean {
  return silentMs >= Math.min(MAX_EXPLAINED_MS, boundMs + explainedMs);
}
