import type { LossVerdict } from "./find_reaches.ts";
import type { SilenceReason } from "./instance_orders.ts";
import type { Liveness } from "./replica_progress.ts";

/** Probes of an instance in a row that failed. */
export interface Silence {
  /** Time at which the first probe without an answer was sent. */
  sinceMs: number;
  failedProbes: number;
  /** Time of the first of the last failed probes that were all refused. */
  refusedSinceMs?: number;
  /** Time of the last failed probe. */
  failedAtMs: number;
  /** Whether any of them got a connection. */
  hadConnection: boolean;
  /** Number of the last check of whether others reach it; 0 before the first. */
  checkNumber: number;
  verdict?: LossVerdict;
  /** Time of the verdict. */
  checkedAtMs: number;
  /** Set once it is known that it is no mere silence. */
  loss?: Liveness & { readonly kind: "lost" | "ended" };
}

/** A probe or an order that got no answer. */
export interface FailedProbe {
  readonly reason: SilenceReason;
  readonly nowMs: number;
  /** Time at which it was sent, if that is known. */
  readonly sentAtMs?: number;
}

/** Number of failed probes after which an instance counts as silent. */
const SILENT_AFTER_FAILED_PROBES = 2;
/** Time for which an instance refuses all probes until it counts as ended. */
const ENDED_AFTER_REFUSED_MS = 100;
/**
 * Silence after which an instance counts as lost. A sound one may be silent for
 * a second or so.
 */
const LOST_AFTER_MS = 2_800;
/**
 * The same for one that accepts no connection meanwhile. What it works on may
 * still go on until `LOST_AFTER_MS`.
 */
const UNREACHABLE_LOST_AFTER_MS = 2_000;
/**
 * Failed probes without which no silence is long, so that a process that was
 * stopped meanwhile probes again.
 */
const LOST_AFTER_FAILED_PROBES = 5;
/** Age up to which a verdict of others counts. */
const MAX_VERDICT_AGE_MS = 1_000;

const LOST = { kind: "lost" } as const;
const MAY_WORK = { kind: "lost", mayWork: true } as const;

export function createSilence(sinceMs: number): Silence {
  return {
    sinceMs,
    failedProbes: 0,
    failedAtMs: sinceMs,
    hadConnection: false,
    checkNumber: 0,
    checkedAtMs: sinceMs,
  };
}

export function noteFailure(
  silence: Silence,
  { reason, nowMs }: FailedProbe,
): void {
  silence.failedProbes += 1;
  silence.failedAtMs = nowMs;
  if (reason === "refused") silence.refusedSinceMs ??= nowMs;
  else delete silence.refusedSinceMs;
  silence.hadConnection ||= reason === "unanswered";
}

export function isSilent({ failedProbes }: Silence): boolean {
  return failedProbes >= SILENT_AFTER_FAILED_PROBES;
}

/** Whether it is not known for certain whether the instance is lost. */
export function isUncertain({ loss }: Silence): boolean {
  return loss === undefined || (loss.kind === "lost" && loss.mayWork === true);
}

/** Notes a loss once the silence is long enough and others agree. */
export function updateLoss(silence: Silence, nowMs: number): void {
  const { verdict, checkedAtMs, failedAtMs } = silence;
  if (verdict === "reached" && isUncertain(silence)) delete silence.loss;
  const isConfirmed = verdict === "unreached" &&
    nowMs - checkedAtMs <= MAX_VERDICT_AGE_MS;
  if (!isConfirmed || silence.loss?.kind === "ended") return;
  const refusedMs = failedAtMs - (silence.refusedSinceMs ?? failedAtMs);
  if (refusedMs >= ENDED_AFTER_REFUSED_MS) {
    silence.loss = { kind: "ended" };
    return;
  }
  if (silence.failedProbes < LOST_AFTER_FAILED_PROBES) return;
  const silentMs = nowMs - silence.sinceMs;
  if (silentMs >= LOST_AFTER_MS) silence.loss = LOST;
  else if (silentMs >= UNREACHABLE_LOST_AFTER_MS && !silence.hadConnection) {
    silence.loss ??= MAY_WORK;
  }
}

/**
 * Leaves a time out of a silence in which this process stood still. What was
 * concluded before has to be seen and confirmed again.
 */
export function skipStandstill(silence: Silence, standstillMs: number): void {
  silence.sinceMs += standstillMs;
  silence.failedProbes = Math.min(
    silence.failedProbes,
    SILENT_AFTER_FAILED_PROBES,
  );
  delete silence.refusedSinceMs;
  delete silence.verdict;
  delete silence.loss;
}
