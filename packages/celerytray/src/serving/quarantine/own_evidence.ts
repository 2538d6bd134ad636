import { CrashEvidence, type CrashSighting } from "./crash_evidence.ts";
import { isRequestCause } from "./crash_causes.ts";
import { RecentParts } from "./recent_parts.ts";

/** An attempt whose causes of a crash are watched. */
export interface WatchedAttempt {
  /** Ids of parts of its prompt, and of the whole request. */
  readonly causes: readonly string[];
  readonly instanceId: string;
  /** The instance in its present life. */
  readonly incarnation: string;
  readonly isStream: boolean;
  /** When the attempt began; undefined where it is not known. */
  readonly startedAtMs?: number;
  /** Whether its connection had served other requests before. */
  readonly isKeptConnection?: boolean;
}

/** Time for which a harmless part is remembered. */
const SAFE_MEMORY_MS = 60_000;
const MAX_SAFE_PARTS = 8_192;
/** Time for which losses are reported, so that a new leader learns of them. */
const REPORT_MS = 60_000;
/**
 * Time for which the single loss of a request is reported. A stream's is not: it
 * is repeated here, while many others are lost with a head.
 */
const SINGLE_REPORT_MS = 10_000;
const MAX_SINGLE_LOSSES = 64;
/** Time after a loss in which earlier responses of an instance may arrive. */
const ALIVE_MARGIN_MS = 100;

/** What this process has seen of possible causes of crashes at instances. */
export class OwnEvidence {
  readonly #crashes = new CrashEvidence();
  readonly #safe = new RecentParts({
    maxParts: MAX_SAFE_PARTS,
    maxAgeMs: SAFE_MEMORY_MS,
  });
  /** Requests that are no streams and were lost lately. */
  readonly #lostRequests = new RecentParts({
    maxParts: MAX_SINGLE_LOSSES,
    maxAgeMs: SINGLE_REPORT_MS,
  });
  /** Time of the loss of each incarnation, until it shows signs of life. */
  readonly #lostAtMs = new Map<string, number>();

  /** Notes a request that began to write at `atMs` and caused no crash. */
  noteSafe({ causes }: Pick<WatchedAttempt, "causes">, atMs: number): void {
    for (const cause of causes) {
      this.#safe.note(cause, atMs);
      this.#crashes.noteSafe(cause, atMs);
    }
  }

  /** Notes that a request's instance was lost before it wrote harmlessly. */
  noteLost(
    { causes, incarnation, isStream }: WatchedAttempt,
    nowMs: number,
  ): void {
    for (const [lost, atMs] of this.#lostAtMs) {
      if (nowMs - atMs > REPORT_MS) this.#lostAtMs.delete(lost);
    }
    this.#lostAtMs.set(incarnation, nowMs);
    for (const part of causes) {
      this.#crashes.noteCrash({ part, incarnation }, nowMs);
      const safeAtMs = this.#safe.find(part, nowMs);
      if (safeAtMs !== undefined) this.#crashes.noteSafe(part, safeAtMs);
      if (!isStream && isRequestCause(part)) {
        this.#lostRequests.note(part, nowMs);
      }
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

  /** Withdraws losses since a time, which came from this process's own links. */
  withdrawSince(sinceMs: number): void {
    for (const [incarnation, atMs] of this.#lostAtMs) {
      if (atMs < sinceMs) continue;
      this.#lostAtMs.delete(incarnation);
      this.#crashes.withdraw(incarnation);
    }
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

  /** The parts and requests with losses. */
  get causes(): readonly string[] {
    return this.#crashes.causes;
  }

  get crashes(): Pick<CrashEvidence, "countCrashes" | "assess"> {
    return this.#crashes;
  }

  listSightings(nowMs: number): readonly CrashSighting[] {
    const sightings = this.#crashes.listSightings({
      nowMs,
      maxAgeMs: REPORT_MS,
    });
    return sightings.filter(({ part }) =>
      !isRequestCause(part) || this.#lostRequests.has(part, nowMs) ||
      this.#crashes.countCrashes(part, NONE) > 1
    );
  }
}

const NONE: ReadonlySet<string> = new Set();
