import { HELD_CRASHES } from "./crash_evidence.ts";
import { isRequestCause } from "./crash_causes.ts";
import { OwnEvidence, type WatchedAttempt } from "./own_evidence.ts";
import {
  MAX_QUARANTINED_PARTS,
  type QuarantinedPart,
  type QuarantineReport,
  type SuspectPart,
} from "./quarantine_report.ts";
import { RecentParts } from "./recent_parts.ts";
import { isLaterRelease } from "./release_order.ts";

/** How a request is to be handled because of what crashed instances. */
export type QuarantineVerdict =
  | { readonly kind: "clear" }
  /** A part may crash instances; the request is sent where it harms least. */
  | { readonly kind: "suspected" }
  | QuarantineRefusal;

/** Why a request is not sent, and after how many crashes with its cause. */
export interface QuarantineRefusal {
  /** A held part waits for a single trial, which shows what it does. */
  readonly kind: "held" | "quarantined";
  /** Id of a part of its prompt, or of the whole request. */
  readonly part: string;
  readonly crashes: number;
}

/** A change of what a process believes, for the log. */
export type QuarantineEvent =
  | {
    readonly kind: "suspected";
    readonly instanceId: string;
    /** Parts that were not lately harmless. */
    readonly parts: readonly string[];
    readonly connection: "new" | "kept";
    readonly elapsedMs: number;
    /** Crashes counted against one of the parts, at most. */
    readonly crashes: number;
  }
  | {
    readonly kind: "tried" | "begun" | "ended";
    readonly part: string;
    readonly crashes: number;
  };

/** Options of the quarantine of a process. */
export interface CrashQuarantineOptions {
  readonly nodeId: string;
  readonly onEvent: (event: QuarantineEvent) => void;
}

/** Time for which a request for a held part counts as wanted. */
const WANTED_MS = 3_000;
/** Parts that wait for a trial at this process. */
const MAX_WANTED_PARTS = 32;
/** Pause before this process tries a held part that no leader knows of. */
const UNLED_TRIAL_MS = 5_000;
/**
 * Time after the decisive crash at which this process's own evidence suffices;
 * longer than a leader's, which hears of the harmless requests of all.
 */
const OWN_SETTLE_MS = 2_500;
/** Releases that are remembered; the oldest are forgotten first. */
const MAX_RELEASES = 1_024;

/**
 * Keeps requests from instances if they, or a part of their prompt, crash each
 * instance that works on them. Combines what this process saw with what the leader
 * concluded from the reports of all processes.
 */
export class CrashQuarantine {
  readonly #options: CrashQuarantineOptions;
  readonly #own = new OwnEvidence();
  readonly #wanted = new RecentParts({
    maxParts: MAX_WANTED_PARTS,
    maxAgeMs: WANTED_MS,
  });
  /** Parts that the leader names. */
  #published: ReadonlyMap<string, SuspectPart> = new Map();
  readonly #quarantined = new Map<string, QuarantinedPart>();
  /** The last trial of each part at this process. */
  readonly #trials = new Map<string, { id?: string; atMs: number }>();
  readonly #releaseOffsets = new Map<string, number>();
  #isLoaded = false;
  /** Undefined after a change, until it is asked for. */
  #watchesRequests: boolean | undefined;

  constructor(options: CrashQuarantineOptions) {
    this.#options = options;
  }

  /** Whether the parts in quarantine were read, or received from a leader. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  get quarantined(): readonly QuarantinedPart[] {
    return [...this.#quarantined.values()];
  }

  /** Offset of the operator's newest release of a part, -1 without one. */
  releaseOffset(part: string): number {
    return this.#releaseOffsets.get(part) ?? -1;
  }

  /**
   * Whether a whole request is suspected or in quarantine, so that requests have
   * to be told apart.
   */
  get watchesRequests(): boolean {
    this.#watchesRequests ??= [
      ...this.#own.causes,
      ...this.#published.keys(),
      ...this.#quarantined.keys(),
    ].some(isRequestCause);
    return this.#watchesRequests;
  }

  /** Assesses a request by the ids of what may crash instances. */
  assess(causes: readonly string[], nowMs: number): QuarantineVerdict {
    for (const part of causes) {
      const entry = this.#quarantined.get(part);
      if (entry !== undefined) {
        return { kind: "quarantined", part, crashes: entry.crashes };
      }
    }
    const doubted = causes.flatMap((part) => {
      const crashes = this.#countCrashes(part, nowMs);
      return crashes === 0 ? [] : [{ part, crashes }];
    });
    const held = doubted.find(({ crashes }) => crashes >= HELD_CRASHES);
    if (held !== undefined) {
      this.#wanted.note(held.part, nowMs);
      return { kind: "held", ...held };
    }
    return { kind: doubted.length > 0 ? "suspected" : "clear" };
  }

  /**
   * Uses this process's permission to try a held part; false if it has none.
   * A request with several held parts would not show which one is harmful.
   */
  tryTakeTrial(causes: readonly string[], nowMs: number): boolean {
    const held = causes.filter((part) =>
      this.#countCrashes(part, nowMs) >= HELD_CRASHES
    );
    const [part] = held;
    if (held.length !== 1 || part === undefined) return false;
    if (this.#quarantined.has(part) || !this.#mayTry(part, nowMs)) return false;
    const grant = this.#published.get(part)?.trial;
    this.#trials.set(part, {
      atMs: nowMs,
      ...(grant === undefined ? {} : { id: grant.id }),
    });
    const crashes = this.#countCrashes(part, nowMs);
    this.#options.onEvent({ kind: "tried", part, crashes });
    return true;
  }

  /** Notes a request that began to write at `atMs` and caused no crash. */
  noteSafe(attempt: Pick<WatchedAttempt, "causes">, atMs: number): void {
    this.#own.noteSafe(attempt, atMs);
  }

  /** Notes that a request's instance was lost before it wrote harmlessly. */
  noteLost(attempt: WatchedAttempt, nowMs: number): void {
    this.#own.noteLost(attempt, nowMs);
    this.#watchesRequests = undefined;
    this.#tellLost(attempt, nowMs);
  }

  /** Notes a loss that says nothing of the request. */
  noteDisregarded(attempt: WatchedAttempt, nowMs: number): void {
    this.#tellLost(attempt, nowMs);
  }

  #tellLost(attempt: WatchedAttempt, nowMs: number): void {
    const { causes, instanceId, startedAtMs = nowMs } = attempt;
    const parts = causes.filter((part) =>
      this.#own.findSafeAtMs(part, nowMs) === undefined
    );
    if (parts.length === 0) return;
    this.#options.onEvent({
      kind: "suspected",
      instanceId,
      parts,
      connection: attempt.isKeptConnection === true ? "kept" : "new",
      elapsedMs: nowMs - startedAtMs,
      crashes: Math.max(
        ...parts.map((part) => this.#countCrashes(part, nowMs)),
      ),
    });
  }

  /** Notes a response, which shows that its instance was not lost before. */
  noteAlive(attempt: Pick<WatchedAttempt, "incarnation">, nowMs: number): void {
    this.#own.noteAlive(attempt, nowMs);
  }

  /** Withdraws losses since a time, which came from this process's own links. */
  withdrawLosses(sinceMs: number): void {
    this.#own.withdrawSince(sinceMs);
    this.#watchesRequests = undefined;
  }

  /** Returns what this process tells the leader. */
  report(nowMs: number): QuarantineReport {
    this.#concludeAlone(nowMs);
    const { nodeId } = this.#options;
    return {
      crashes: this.#own.listSightings(nowMs),
      safe: [...this.#published.values()].flatMap(({ part, state }) => {
        const atMs = this.#own.findSafeAtMs(part, nowMs);
        return state === "quarantined" || atMs === undefined
          ? []
          : [{ part, ageMs: nowMs - atMs }];
      }),
      wanted: this.#wanted.list(nowMs).map((part) => ({ part, nodeId })),
      quarantined: this.quarantined.filter(({ part }) =>
        this.#published.get(part)?.state !== "quarantined"
      ),
    };
  }

  /** Takes over the parts that the leader's status names. */
  adopt(published: readonly SuspectPart[]): void {
    this.#published = new Map(published.map((entry) => [entry.part, entry]));
    this.#watchesRequests = undefined;
    this.load(published.filter(({ state }) => state === "quarantined"));
  }

  /** Takes over parts in quarantine from the store or from other processes. */
  load(entries: readonly QuarantinedPart[]): void {
    this.#isLoaded = true;
    for (const entry of entries) this.#quarantine(entry);
  }

  /** Releases a part for the operator; `offset` tells releases apart. */
  release(part: string, offset: number): void {
    if (!isLaterRelease(offset, this.releaseOffset(part))) return;
    this.#releaseOffsets.delete(part);
    this.#releaseOffsets.set(part, offset);
    evictOldest(this.#releaseOffsets, MAX_RELEASES);
    this.#own.forget(part);
    this.#watchesRequests = undefined;
    const entry = this.#quarantined.get(part);
    if (entry === undefined) return;
    this.#quarantined.delete(part);
    const { crashes } = entry;
    this.#options.onEvent({ kind: "ended", part, crashes });
  }

  /** Crashes that speak against a part; 0 if it was lately harmless here. */
  #countCrashes(part: string, nowMs: number): number {
    if (this.#own.findSafeAtMs(part, nowMs) !== undefined) return 0;
    const published = this.#published.get(part);
    const isCurrent = published !== undefined &&
      !isLaterRelease(this.releaseOffset(part), published.releaseOffset);
    const ownCrashes = this.#own.crashes.countCrashes(
      part,
      new Set(this.#quarantined.keys()),
    );
    if (!isCurrent || ownCrashes > published.crashes) return ownCrashes;
    // The leader may know that another part explains the crashes better.
    return published.state === "suspected" ? 1 : published.crashes;
  }

  #mayTry(part: string, nowMs: number): boolean {
    const last = this.#trials.get(part);
    const published = this.#published.get(part);
    if (published === undefined) {
      this.#trials.set(part, last ?? { atMs: nowMs });
      return last !== undefined && nowMs - last.atMs >= UNLED_TRIAL_MS;
    }
    const { trial } = published;
    return trial?.nodeId === this.#options.nodeId &&
      trial.id !== last?.id;
  }

  /**
   * Quarantines parts by this process's own evidence, unless the leader, which
   * hears of the harmless requests of all, names them.
   */
  #concludeAlone(nowMs: number): void {
    const assessments = this.#own.crashes.assess({
      nowMs,
      settleMs: OWN_SETTLE_MS,
      explaining: new Set(this.#quarantined.keys()),
    });
    for (const { part, crashes, isConclusive } of assessments) {
      if (!isConclusive || this.#published.has(part)) continue;
      const releaseOffset = this.releaseOffset(part);
      this.#quarantine({ part, crashes, releaseOffset });
    }
  }

  #quarantine({ part, crashes, releaseOffset }: QuarantinedPart): void {
    if (this.#quarantined.has(part)) return;
    if (isLaterRelease(this.releaseOffset(part), releaseOffset)) return;
    this.#quarantined.set(part, { part, crashes, releaseOffset });
    this.#watchesRequests = undefined;
    evictOldest(this.#quarantined, MAX_QUARANTINED_PARTS);
    evictOldest(this.#trials, MAX_QUARANTINED_PARTS);
    this.#options.onEvent({ kind: "begun", part, crashes });
  }
}

function evictOldest(entries: Map<string, unknown>, maxEntries: number): void {
  for (const oldest of entries.keys()) {
    if (entries.size <= maxEntries) return;
    entries.delete(oldest);
  }
}
