import { isRequestCause } from "./crash_causes.ts";
import type { ProveLoss } from "./loss_proof.ts";

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
  /** Whether the proved crashes and the time since them suffice for quarantine. */
  readonly isConclusive: boolean;
  readonly incarnations: readonly string[];
}

/** Losses from which a part is quarantined while no others occur. */
const QUARANTINE_CRASHES = 3;
/**
 * Other losses of the last minute from which coincidence is likelier, and one
 * more loss is needed for each.
 */
const OTHER_LOSSES_STEPS = [3, 8, 24];
/** Time in which a trial or other requests tell two parts apart. */
const AMBIGUOUS_SETTLE_MS = 30_000;
/** Losses within this time count once, as a common cause is likelier. */
const SAME_MOMENT_MS = 100;
/**
 * The same for a whole request: its next attempt begins only after a loss, and
 * may end as soon as this.
 */
const SAME_MOMENT_OF_REQUEST_MS = 30;

/** A part with the crashes that no part in quarantine explains. */
export interface DoubtedPart {
  readonly part: string;
  readonly open: ReadonlyMap<string, number>;
  /** Whether it was harmless before the crashes. */
  readonly wasSafe: boolean;
}

/** Assesses one of the doubted parts beside the others. */
export function assessPart(
  doubt: DoubtedPart,
  { doubted, recentLosses, nowMs, settleMs, proveLoss }: {
    readonly doubted: readonly DoubtedPart[];
    readonly recentLosses: readonly string[];
    readonly nowMs: number;
    readonly settleMs: number;
    readonly proveLoss: ProveLoss;
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
  const provedMs = [...open].flatMap(([incarnation, atMs]) =>
    proveLoss(incarnation) === "lost" ? [atMs] : []
  );
  const decidedAtMs = listMoments(part, provedMs)[neededCrashes - 1];
  const waitMs = isAmbiguous ? AMBIGUOUS_SETTLE_MS : settleMs;
  return {
    part,
    crashes: moments.length,
    lastCrashAtMs: Math.max(...open.values()),
    isExplained,
    needsTrial: !isExplained &&
      (moments.length < neededCrashes || isAmbiguous),
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

/** Merges times that lie close together; returns the first of each group. */
export function listMoments(
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
