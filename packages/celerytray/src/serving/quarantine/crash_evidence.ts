import { isRequestCause } from "./crash_causes.ts";

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

/** What the evidence says about one part. */
export interface PartAssessment {
  readonly part: string;
  /**
   * Losses of instances since the part last began to write without harm that
   * no other part explains. Losses at about the same moment count once.
   */
  readonly crashes: number;
  readonly lastCrashAtMs: number;
  /**
   * Whether another part explains all of its crashes better: it was at more of
   * them, or at the same ones and was never harmless.
   */
  readonly isExplained: boolean;
  /** Whether only a further request can show what the part does. */
  readonly needsTrial: boolean;
  /** Whether the crashes and the time since them suffice for quarantine. */
  readonly isConclusive: boolean;
  readonly incarnations: readonly string[];
}

/** Losses from which a part is held back, except for single trials. */
export const HELD_CRASHES = 2;
/** Losses from which a part is quarantined while no others occur. */
const QUARANTINE_CRASHES = 3;
/**
 * Other losses of the last minute from which coincidence is likelier, and one
 * more loss is needed for each.
 */
const OTHER_LOSSES_STEPS = [3, 8, 24];
const OTHER_LOSSES_WINDOW_MS = 60_000;
/** Time in which a trial or other requests tell two parts apart. */
const AMBIGUOUS_SETTLE_MS = 30_000;
/** Losses that are remembered to judge how common they are. */
const MAX_LOSSES = 512;
/** Losses within this time count once, as a common cause is likelier. */
const SAME_MOMENT_MS = 100;
/**
 * The same for a whole request: its next attempt begins only after a loss, and
 * may end as soon as this.
 */
const SAME_MOMENT_OF_REQUEST_MS = 30;
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
    { nowMs, settleMs, explaining }: AssessmentOptions,
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
      assessPart(doubt, { doubted, recentLosses, nowMs, settleMs })
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

/** A part with the crashes that no part in quarantine explains. */
interface DoubtedPart {
  readonly part: string;
  readonly open: ReadonlyMap<string, number>;
  /** Whether it was harmless before the crashes. */
  readonly wasSafe: boolean;
}

/** Assesses one of the doubted parts beside the others. */
function assessPart(
  doubt: DoubtedPart,
  { doubted, recentLosses, nowMs, settleMs }: {
    readonly doubted: readonly DoubtedPart[];
    readonly recentLosses: readonly string[];
    readonly nowMs: number;
    readonly settleMs: number;
  },
): PartAssessment {
  const { part, open } = doubt;
  const others = doubted.filter((other) => other.part !== part);
  const isExplained = others.some((other) => explains(other, doubt));
  const isAmbiguous = others.some((other) => rivals(other, doubt));
  const otherLosses =
    recentLosses.filter((incarnation) => !open.has(incarnation)).length;
  const neededCrashes = QUARANTINE_CRASHES +
    OTHER_LOSSES_STEPS.filter((losses) => otherLosses >= losses).length;
  const moments = listMoments(part, [...open.values()]);
  const decidedAtMs = moments[neededCrashes - 1];
  const waitMs = isAmbiguous ? AMBIGUOUS_SETTLE_MS : settleMs;
  return {
    part,
    crashes: moments.length,
    lastCrashAtMs: Math.max(...open.values()),
    isExplained,
    needsTrial: !isExplained && (decidedAtMs === undefined || isAmbiguous),
    isConclusive: decidedAtMs !== undefined && !isExplained &&
      nowMs - decidedAtMs >= waitMs,
    incarnations: [...open.keys()],
  };
}

/** Whether a part explains all crashes of another one better. */
function explains(other: DoubtedPart, { open, wasSafe }: DoubtedPart): boolean {
  const isStronger = other.open.size > open.size ||
    (other.open.size === open.size && wasSafe && !other.wasSafe);
  return isStronger &&
    [...open.keys()].every((incarnation) => other.open.has(incarnation));
}

/** Whether a part could have caused some crashes of another one as well. */
function rivals(other: DoubtedPart, { open, wasSafe }: DoubtedPart): boolean {
  if (other.open.size < open.size || (other.wasSafe && !wasSafe)) return false;
  return [...open.keys()].some((incarnation) => other.open.has(incarnation));
}

/** Inputs of an assessment. */
export interface AssessmentOptions {
  readonly nowMs: number;
  /** Time within which harmless requests of other processes become known. */
  readonly settleMs: number;
  readonly explaining: ReadonlySet<string>;
}

/** Merges times that lie close together; returns the first of each group. */
function listMoments(
  part: string,
  timesMs: readonly number[],
): readonly number[] {
  const sameMomentMs = isRequestCause(part)
    ? SAME_MOMENT_OF_REQUEST_MS
    : SAME_MOMENT_MS;
  const moments: number[] = [];
  for (const atMs of [...timesMs].sort((a, b) => a - b)) {
    const last = moments.at(-1);
    if (last === undefined || atMs - last >= sameMomentMs) moments.push(atMs);
  }
  return moments;
}
