import {
  assessPart,
  type DoubtedPart,
  listMoments,
  type PartAssessment,
} from "./assess_part.ts";
import { isRequestCause } from "./crash_causes.ts";
import { believeLosses, type ProveLoss } from "./loss_proof.ts";

/** A request whose instance was lost before it had begun to write harmlessly. */
export interface CrashSighting {
  /** A part of the request's prompt, or the whole request. */
  readonly part: string;
  /** The incarnation of the instance that was lost. */
  readonly incarnation: string;
  readonly ageMs: number;
}

/** A request with a part that began to write without harm. */
export interface SafeSighting {
  readonly part: string;
  readonly ageMs: number;
}

/** Losses from which a part is held back, except for single trials. */
export const HELD_CRASHES = 2;
/** Time for which the losses of other instances make coincidence likelier. */
const OTHER_LOSSES_WINDOW_MS = 60_000;
/** Losses that are remembered to judge how common they are. */
const MAX_LOSSES = 512;
/** Time for which losses count; harmless requests clear them earlier. */
const MAX_EVIDENCE_AGE_MS = 3_600_000;
/** Parts that are tracked; those with the fewest and oldest losses go first. */
const MAX_PARTS = 128;
/** Whole requests that are tracked; a lost instance takes many along. */
const MAX_REQUESTS = 512;
/** Losses kept of one part. */
const MAX_CRASHES_PER_PART = 16;

interface PartEvidence {
  /** Time of the loss of each incarnation. */
  readonly crashes: Map<string, number>;
  safeAtMs: number;
}

/**
 * Weighs the losses of instances against the parts of the prompts that were
 * about to be written there, and against the whole requests. What crashes
 * instances never begins without harm, so one harmless beginning clears all
 * earlier losses. Below, a part is either of them.
 */
export class CrashEvidence {
  readonly #parts = new Map<string, PartEvidence>();
  /** Time of each loss, whatever its cause. */
  readonly #losses = new Map<string, number>();

  noteCrash(
    { part, incarnation }: Pick<CrashSighting, "part" | "incarnation">,
    atMs: number,
  ): void {
    this.#noteLoss(incarnation, atMs);
    const evidence = this.#parts.get(part) ??
      {
        crashes: new Map<string, number>(),
        safeAtMs: Number.NEGATIVE_INFINITY,
      };
    const { crashes, safeAtMs } = evidence;
    if (atMs <= safeAtMs || crashes.has(incarnation)) return;
    crashes.set(incarnation, atMs);
    for (const oldest of crashes.keys()) {
      if (crashes.size <= MAX_CRASHES_PER_PART) break;
      crashes.delete(oldest);
    }
    this.#parts.set(part, evidence);
    this.#evict(atMs);
  }

  /** Clears the earlier losses of a part; only tracked parts are noted. */
  noteSafe(part: string, atMs: number): void {
    const evidence = this.#parts.get(part);
    if (evidence === undefined) return;
    evidence.safeAtMs = Math.max(evidence.safeAtMs, atMs);
    for (const [incarnation, crashedAtMs] of evidence.crashes) {
      if (crashedAtMs < evidence.safeAtMs) {
        evidence.crashes.delete(incarnation);
      }
    }
    if (evidence.crashes.size === 0) this.#parts.delete(part);
  }

  /** Withdraws the loss of an incarnation that turned out to be alive. */
  withdraw(incarnation: string): void {
    this.#losses.delete(incarnation);
    for (const [part, { crashes }] of this.#parts) {
      if (crashes.delete(incarnation) && crashes.size === 0) {
        this.#parts.delete(part);
      }
    }
  }

  /** The parts and requests with losses. */
  get causes(): readonly string[] {
    return [...this.#parts.keys()];
  }

  forget(part: string): void {
    this.#parts.delete(part);
  }

  /** Counts the losses of a part that no part in quarantine explains. */
  countCrashes(part: string, explaining: ReadonlySet<string>): number {
    const { crashes } = this.#parts.get(part) ?? {};
    if (crashes === undefined) return 0;
    const explained = this.#listIncarnations(explaining);
    const open = [...crashes].filter(([incarnation]) =>
      !explained.has(incarnation)
    );
    return listMoments(part, open.map(([, atMs]) => atMs)).length;
  }

  /** Returns the losses since `maxAgeMs` ago, to be reported. */
  listSightings(
    { nowMs, maxAgeMs }: { readonly nowMs: number; readonly maxAgeMs: number },
  ): readonly CrashSighting[] {
    return [...this.#parts].flatMap(([part, { crashes }]) =>
      [...crashes].flatMap(([incarnation, atMs]) =>
        nowMs - atMs > maxAgeMs
          ? []
          : [{ part, incarnation, ageMs: nowMs - atMs }]
      )
    );
  }

  /**
   * Assesses the parts, those at the most losses first. `explaining` are the
   * parts in quarantine: their losses say nothing about other parts.
   */
  assess(
    { nowMs, settleMs, explaining, proveLoss = believeLosses }:
      AssessmentOptions,
  ): readonly PartAssessment[] {
    this.#evict(nowMs);
    const explained = this.#listIncarnations(explaining);
    const recentLosses = [...this.#losses].flatMap(([incarnation, atMs]) =>
      nowMs - atMs > OTHER_LOSSES_WINDOW_MS || explained.has(incarnation)
        ? []
        : [incarnation]
    );
    const doubted = this.#listDoubted(explaining, explained);
    return doubted.map((doubt) =>
      assessPart(doubt, { doubted, recentLosses, nowMs, settleMs, proveLoss })
    );
  }

  /** Incarnations that were lost at requests with any of the parts. */
  #listIncarnations(parts: ReadonlySet<string>): ReadonlySet<string> {
    return new Set(
      [...parts].flatMap((part) => [
        ...this.#parts.get(part)?.crashes.keys() ?? [],
      ]),
    );
  }

  /** Parts with unexplained losses, those at the most losses first. */
  #listDoubted(
    explaining: ReadonlySet<string>,
    explained: ReadonlySet<string>,
  ): readonly DoubtedPart[] {
    return [...this.#parts].flatMap(([part, { crashes, safeAtMs }]) => {
      const open = new Map(
        [...crashes].filter(([incarnation]) => !explained.has(incarnation)),
      );
      const isDoubted = !explaining.has(part) && open.size > 0;
      return isDoubted
        ? [{ part, open, wasSafe: Number.isFinite(safeAtMs) }]
        : [];
    }).sort((a, b) => b.open.size - a.open.size);
  }

  #noteLoss(incarnation: string, atMs: number): void {
    if (this.#losses.has(incarnation)) return;
    this.#losses.set(incarnation, atMs);
    for (const oldest of this.#losses.keys()) {
      if (this.#losses.size <= MAX_LOSSES) return;
      this.#losses.delete(oldest);
    }
  }

  #evict(nowMs: number): void {
    for (const [part, { crashes }] of this.#parts) {
      for (const [incarnation, atMs] of crashes) {
        if (nowMs - atMs > MAX_EVIDENCE_AGE_MS) crashes.delete(incarnation);
      }
      if (crashes.size === 0) this.#parts.delete(part);
    }
    this.#evictWeakest(MAX_PARTS, (part) => !isRequestCause(part));
    this.#evictWeakest(MAX_REQUESTS, isRequestCause);
  }

  /** Forgets the causes of one kind with the fewest losses, oldest first. */
  #evictWeakest(maxCount: number, isOfKind: (part: string) => boolean): void {
    const surplus = this.causes.filter(isOfKind).length - maxCount;
    if (surplus <= 0) return;
    const weakest = [...this.#parts]
      .filter(([part]) => isOfKind(part))
      .sort(([, a], [, b]) => a.crashes.size - b.crashes.size)
      .slice(0, surplus);
    for (const [part] of weakest) this.#parts.delete(part);
  }
}

/** Inputs of an assessment. */
export interface AssessmentOptions {
  readonly nowMs: number;
  /** Time within which harmless requests of other processes become known. */
  readonly settleMs: number;
  readonly explaining: ReadonlySet<string>;
  /** Which losses are proved, as only these decide; by default all. */
  readonly proveLoss?: ProveLoss;
}
