import type { LossVerdict } from "./find_reaches.ts";
import type { Liveness } from "./replica_progress.ts";
import {
  createSilence,
  type FailedProbe,
  isSilent,
  isUncertain,
  noteFailure,
  type Silence,
  skipStandstill,
  updateLoss,
} from "./silence.ts";

/** An instance that may be silent. */
interface Suspicion {
  probedAtMs: number;
  /** Time of the first probe after the last answer. */
  unansweredSinceMs?: number;
  /** Its silence; undefined while its last probe was answered. */
  silence?: Silence;
}

/** Evidence that an instance does not answer, for logs. */
export interface SilenceEvidence {
  /** Probes in a row that failed. */
  readonly failedProbes: number;
  /** Time for which none was answered, at least. */
  readonly silentMs: number;
  /** Time since any instance answered; undefined before the first answer. */
  readonly othersAnsweredAgoMs?: number;
}

/** Time between two updates from which this process has stood still. */
const STANDSTILL_MS = 250;
/** Interval between probes of a suspected instance. */
const SUSPECTED_PROBE_INTERVAL_MS = 120;
/** Interval between probes of a silent instance. */
const SILENT_PROBE_INTERVAL_MS = 200;
/** Interval between probes of a lost, ended or unlisted instance. */
const LOST_PROBE_INTERVAL_MS = 1_000;

/** Tracks the liveness of instances by the results of probes and orders. */
export class LivenessTracker {
  readonly #suspicions = new Map<string, Suspicion>();
  readonly #replacedIds = new Set<string>();
  /** Time of the last probe of instances that answered it. */
  readonly #answeredProbeAtMs = new Map<string, number>();
  /** Time at which any instance last answered. */
  #answeredAtMs: number | undefined;
  #checkCount = 0;
  #updatedAtMs: number | undefined;
  /** Time at which this process last went on after it had stood still. */
  #wokeAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Marks an instance as possibly silent, so that it is probed. It may be known
   * since when it has not answered this process.
   */
  noteSuspected(instanceId: string, unansweredSinceMs?: number): void {
    if (this.#suspicions.has(instanceId)) return;
    const probedAtMs = this.#answeredProbeAtMs.get(instanceId) ??
      Number.NEGATIVE_INFINITY;
    this.#suspicions.set(instanceId, {
      probedAtMs,
      ...(unansweredSinceMs === undefined ? {} : { unansweredSinceMs }),
    });
  }

  noteProbeFailed(
    instanceId: string,
    { reason, nowMs, sentAtMs = nowMs }: FailedProbe,
  ): void {
    this.noteSuspected(instanceId);
    if (sentAtMs < this.#wokeAtMs) return;
    const suspicion = this.#suspicions.get(instanceId)!;
    const { unansweredSinceMs = nowMs } = suspicion;
    const silence = suspicion.silence ??= createSilence(unansweredSinceMs);
    noteFailure(silence, { reason, nowMs });
    if (reason === "replaced") this.#replacedIds.add(instanceId);
    updateLoss(silence, nowMs);
  }

  /**
   * Returns the silent instances of which others are to be asked, those first
   * that were asked for least recently.
   */
  takeUnconfirmed(maxCount: number): readonly string[] {
    const unconfirmed = [...this.#suspicions].flatMap(([id, { silence }]) =>
      silence !== undefined && isUncertain(silence) && isSilent(silence)
        ? [{ id, silence }]
        : []
    ).sort((one, other) => one.silence.checkNumber - other.silence.checkNumber)
      .slice(0, maxCount);
    for (const { silence } of unconfirmed) {
      silence.checkNumber = ++this.#checkCount;
    }
    return unconfirmed.map(({ id }) => id);
  }

  /**
   * Notes what others know of a silent instance, who were asked at a time;
   * whether that is new.
   */
  noteVerdict(
    instanceId: string,
    verdict: LossVerdict,
    nowMs: number,
    askedAtMs = nowMs,
  ): boolean {
    const silence = this.#suspicions.get(instanceId)?.silence;
    if (silence === undefined || askedAtMs < this.#wokeAtMs) return false;
    const hasChanged = silence.verdict !== verdict;
    silence.verdict = verdict;
    silence.checkedAtMs = nowMs;
    updateLoss(silence, nowMs);
    return hasChanged;
  }

  /**
   * Notes losses that time alone has confirmed; whether there are any. A long
   * time since the last call is one in which this process stood still.
   */
  update(nowMs: number): boolean {
    const passedMs = nowMs - (this.#updatedAtMs ?? nowMs);
    this.#updatedAtMs = nowMs;
    if (passedMs > STANDSTILL_MS) this.#skipStandstill(passedMs, nowMs);
    let hasChanged = false;
    for (const { silence } of this.#suspicions.values()) {
      if (silence === undefined) continue;
      const before = silence.loss;
      updateLoss(silence, nowMs);
      hasChanged ||= silence.loss !== before;
    }
    return hasChanged;
  }

  /** Notes that some instance answered a probe or an order. */
  noteAnswered(nowMs: number): void {
    this.#answeredAtMs = nowMs;
  }

  /** What speaks for the silence of a suspected instance. */
  describeSilence(instanceId: string, nowMs: number): SilenceEvidence {
    const silence = this.#suspicions.get(instanceId)?.silence;
    return {
      failedProbes: silence?.failedProbes ?? 0,
      silentMs: nowMs - (silence?.sinceMs ?? nowMs),
      ...(this.#answeredAtMs === undefined
        ? {}
        : { othersAnsweredAgoMs: nowMs - this.#answeredAtMs }),
    };
  }

  /** Notes that an instance answered; clears the suspicion. */
  noteAlive(instanceId: string): void {
    const probedAtMs = this.#suspicions.get(instanceId)?.probedAtMs;
    if (probedAtMs !== undefined) {
      this.#answeredProbeAtMs.set(instanceId, probedAtMs);
    }
    this.#suspicions.delete(instanceId);
    this.#replacedIds.delete(instanceId);
  }

  /** Notes that a suspected instance answered, but keeps the suspicion. */
  noteProbeAnswered(instanceId: string): void {
    const suspicion = this.#suspicions.get(instanceId);
    delete suspicion?.silence;
    delete suspicion?.unansweredSinceMs;
    this.#replacedIds.delete(instanceId);
  }

  /** Suspected instances whose probe is due; counts them as probed now. */
  takeDueProbes(
    nowMs: number,
    isUnlisted: (instanceId: string) => boolean,
  ): readonly string[] {
    const due: string[] = [];
    for (const [instanceId, suspicion] of this.#suspicions) {
      const isIdle = suspicion.silence === undefined && isUnlisted(instanceId);
      const intervalMs = isIdle
        ? LOST_PROBE_INTERVAL_MS
        : findIntervalMs(this.livenessOf(instanceId));
      if (nowMs - suspicion.probedAtMs < intervalMs) continue;
      suspicion.probedAtMs = nowMs;
      suspicion.unansweredSinceMs ??= nowMs;
      due.push(instanceId);
    }
    return due;
  }

  /**
   * Leaves the time out of all silences: instances may have answered in it, and
   * calls that were under way tell nothing.
   */
  #skipStandstill(standstillMs: number, nowMs: number): void {
    this.#wokeAtMs = nowMs;
    for (const suspicion of this.#suspicions.values()) {
      const { unansweredSinceMs, silence } = suspicion;
      if (unansweredSinceMs !== undefined) {
        suspicion.unansweredSinceMs = unansweredSinceMs + standstillMs;
      }
      if (silence !== undefined) skipStandstill(silence, standstillMs);
    }
  }

  /** Drops instances that are no longer relevant. */
  retain(isRelevant: (instanceId: string) => boolean): void {
    for (const instanceId of [...this.#suspicions.keys()]) {
      if (!isRelevant(instanceId)) this.noteAlive(instanceId);
    }
    for (const instanceId of [...this.#answeredProbeAtMs.keys()]) {
      if (!isRelevant(instanceId)) this.#answeredProbeAtMs.delete(instanceId);
    }
  }

  isSuspected(instanceId: string): boolean {
    return this.#suspicions.has(instanceId);
  }

  livenessOf(instanceId: string): Liveness {
    if (this.#replacedIds.has(instanceId)) return { kind: "ended" };
    const silence = this.#suspicions.get(instanceId)?.silence;
    if (silence === undefined) return { kind: "alive" };
    return silence.loss ?? { kind: isSilent(silence) ? "silent" : "alive" };
  }
}

function findIntervalMs(liveness: Liveness): number {
  const mayWork = liveness.kind === "lost" && liveness.mayWork === true;
  return PROBE_INTERVALS_MS[mayWork ? "silent" : liveness.kind];
}

const PROBE_INTERVALS_MS: Readonly<Record<Liveness["kind"], number>> = {
  alive: SUSPECTED_PROBE_INTERVAL_MS,
  silent: SILENT_PROBE_INTERVAL_MS,
  lost: LOST_PROBE_INTERVAL_MS,
  ended: LOST_PROBE_INTERVAL_MS,
};
