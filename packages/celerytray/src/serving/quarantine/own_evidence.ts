import { CrashEvidence, type CrashSighting } from "./crash_evidence.ts";
import { RecentParts } from "./recent_parts.ts";

/** An attempt whose prompt is watched. */
export interface WatchedAttempt {
  readonly parts: readonly string[];
  readonly instanceId: string;
  /** The instance in its present life. */
  readonly incarnation: string;
}

/** Time for which a harmless part is remembered. */
const SAFE_MEMORY_MS = 60_000;
const MAX_SAFE_PARTS = 8_192;
/** Time for which losses are reported, so that a new leader learns of them. */
const REPORT_MS = 60_000;
/** Time after a loss in which earlier responses of an instance may arrive. */
const ALIVE_MARGIN_MS = 100;
/** Length of an id of a part; longer ones are not tracked. */
export const MAX_PART_ID_CHARACTERS = 64;

/**
 * The parts of a prompt that may crash an instance: all but the last, which no
 * other prompt has.
 */
export function listSharedParts(parts: readonly string[]): readonly string[] {
  return parts.slice(0, -1).filter(isTracked);
}

/** What this process has seen of the parts of prompts at instances. */
export class OwnEvidence {
  readonly #crashes = new CrashEvidence();
  readonly #safe = new RecentParts({
    maxParts: MAX_SAFE_PARTS,
    maxAgeMs: SAFE_MEMORY_MS,
  });
  /** Time of the loss of each incarnation, until it shows signs of life. */
  readonly #lostAtMs = new Map<string, number>();

  /** Notes a request that began to write at `atMs` and caused no crash. */
  noteSafe({ parts }: Pick<WatchedAttempt, "parts">, atMs: number): void {
    for (const part of parts.filter(isTracked)) {
      this.#safe.note(part, atMs);
      this.#crashes.noteSafe(part, atMs);
    }
  }

  /** Notes that a request's instance was lost before it wrote harmlessly. */
  noteLost({ parts, incarnation }: WatchedAttempt, nowMs: number): void {
    for (const [lost, atMs] of this.#lostAtMs) {
      if (nowMs - atMs > REPORT_MS) this.#lostAtMs.delete(lost);
    }
    this.#lostAtMs.set(incarnation, nowMs);
    for (const part of listSharedParts(parts)) {
      this.#crashes.noteCrash({ part, incarnation }, nowMs);
      const safeAtMs = this.#safe.find(part, nowMs);
      if (safeAtMs !== undefined) this.#crashes.noteSafe(part, safeAtMs);
    }
  }

  /** Notes a response, which shows that its instance was not lost before. */
  noteAlive(
    { incarnation }: Pick<WatchedAttempt, "incarnation">,
    nowMs: number,
  ): void {
    const lostAtMs = this.#lostAtMs.get(incarnation);
    if (lostAtMs === undefined || nowMs - lostAtMs < ALIVE_MARGIN_MS) return;
    this.#lostAtMs.delete(incarnation);
    this.#crashes.withdraw(incarnation);
  }

  /** Forgets what was seen of a part. */
  forget(part: string): void {
    this.#crashes.forget(part);
    this.#safe.forget(part);
  }

  /** Time at which a part was last seen to be harmless, within its memory. */
  findSafeAtMs(part: string, nowMs: number): number | undefined {
    return this.#safe.find(part, nowMs);
  }

  get crashes(): Pick<CrashEvidence, "countCrashes" | "assess"> {
    return this.#crashes;
  }

  listSightings(nowMs: number): readonly CrashSighting[] {
    return this.#crashes.listSightings({ nowMs, maxAgeMs: REPORT_MS });
  }
}

function isTracked(part: string): boolean {
  return part.length <= MAX_PART_ID_CHARACTERS;
}
