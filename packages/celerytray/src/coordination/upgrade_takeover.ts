import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import { eraOf } from "../keyed_log/index.ts";
import type { LeaderSearch } from "./leader_search.ts";
import { generationOf, type LeadingProcess } from "./leading_process.ts";
import type { OwnTerms } from "./own_terms.ts";

/** Dependencies of the takeover from a leader of an earlier version. */
export interface UpgradeTakeoverOptions {
  /** Generation of this process's way to lead. */
  readonly generation: number;
  readonly search: Pick<LeaderSearch, "readRecords" | "shouldFollow">;
  readonly terms: Pick<OwnTerms, "claim">;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
  readonly record: RecordEvent;
}

/** What a follower knows as it decides whether to take the lead. */
export interface TakeoverInput {
  readonly leader: LeadingProcess;
  /** Whether the leader, the store and this process's links are sound. */
  readonly isSound: boolean;
  readonly nowMs: number;
}

/** Result of an attempt to take the lead. */
export type TakeoverOutcome =
  /** The leader goes on leading, as far as this process knows. */
  | "kept"
  /** Another process has claimed a later term. */
  | "succeeded"
  /** This process has led. */
  | "led";

/** Time for which everything must have been sound before the lead is taken. */
const SOUND_FOR_MS = 1_000;
/** Range of the random delay that separates processes that start together. */
const MAX_JITTER_MS = 300;

/**
 * Takes the lead from a sound leader of an earlier version, once in the life of
 * a process: processes of several versions can't pass it to and fro.
 */
export class UpgradeTakeover {
  readonly #options: UpgradeTakeoverOptions;
  #due: { readonly atMs: number; readonly delayMs: number } | undefined;
  #hasLed = false;
  /** Term whose leader, by its record, is not of an earlier version. */
  #refutedTerm: number | undefined;

  constructor(options: UpgradeTakeoverOptions) {
    this.#options = options;
  }

  /** Whether to take the lead now. */
  isDue({ leader, isSound, nowMs }: TakeoverInput): boolean {
    const isWanted = !this.#hasLed && leader.term !== this.#refutedTerm &&
      generationOf(leader) < this.#options.generation;
    if (!isWanted || !isSound) {
      this.#due = undefined;
      return false;
    }
    this.#due ??= createDue(this.#options.random(), nowMs);
    return nowMs >= this.#due.atMs;
  }

  /**
   * Claims leadership if the records show the same leader, of an earlier version,
   * and leads until another process does.
   */
  attempt(leader: LeadingProcess): Effect.Effect<TakeoverOutcome> {
    const { generation, search, terms, record } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const delayMs = this.#due?.delayMs ?? 0;
      this.#due = undefined;
      const records = yield* search.readRecords();
      if (records === undefined) return "kept";
      const { leader: stored, nextOffset } = records;
      if (search.shouldFollow(stored)) return "succeeded";
      // A copy of the store may lack the records of the term.
      const isCurrent = stored?.term === leader.term &&
        eraOf(nextOffset) === eraOf(leader.term);
      if (!isCurrent) return "kept";
      if (generationOf(stored) >= generation) {
        this.#refutedTerm = leader.term;
        return "kept";
      }
      record("lead.replacing", {
        term: leader.term,
        lead: leader.nodeId,
        reason: "it is of an earlier version",
        delayMs,
      });
      this.#hasLed = yield* terms.claim(records);
      return this.#hasLed ? "led" : "kept";
    });
  }
}

function createDue(jitterFraction: number, nowMs: number) {
  const delayMs = SOUND_FOR_MS + jitterFraction * MAX_JITTER_MS;
  return { atMs: nowMs + delayMs, delayMs };
}
