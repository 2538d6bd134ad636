import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import type { KeyedLog, LogPosition } from "../keyed_log/index.ts";
import {
  awaitSuccessor,
  type FleetRecords,
  type LeaderCheck,
  readFleetRecords,
} from "./leader_log.ts";
import { awaitTakeoverDelay, takeoverDelayMs } from "./leader_succession.ts";
import type { LeadingProcess } from "./leading_process.ts";
import type { PeerNode } from "./peer_messages.ts";

/** Dependencies of a leader search. */
export interface LeaderSearchOptions {
  readonly self: PeerNode;
  readonly log: KeyedLog;
  /** Term of the leader that was followed last; 0 before the first. */
  readonly term: () => LogPosition;
  /** Whether this process does not reach the replicas that a leader controls. */
  readonly hasLostReplicas: () => boolean;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
  readonly record: RecordEvent;
}

/** Determines from the records which process leads. */
export class LeaderSearch {
  readonly #options: LeaderSearchOptions;
  /** Newest leader that the records named. */
  #foundLeader: LeadingProcess | undefined;
  /** Position up to which the records were checked for a successor of `term`. */
  #checked: { term: LogPosition; nextOffset: LogPosition } = {
    term: 0,
    nextOffset: 0,
  };

  constructor(options: LeaderSearchOptions) {
    this.#options = options;
  }

  /** Returns and clears the leader found in the records, if it is new. */
  takeFoundLeader(): LeadingProcess | undefined {
    const found = this.#foundLeader;
    this.#foundLeader = undefined;
    return this.shouldFollow(found) ? found : undefined;
  }

  /**
   * Whether a leader is another process, of a later term than the leader
   * followed last. An earlier one is named where the store came back from a
   * copy that lacks later records.
   */
  shouldFollow(leader: LeadingProcess | undefined): boolean {
    return leader !== undefined && leader.term > this.#options.term() &&
      leader.nodeId !== this.#options.self.nodeId;
  }

  /**
   * Waits before the first claim, so that a process with more cores can claim
   * first. Succeeds with true if another process has claimed leadership.
   */
  awaitInitialDelay({ nextOffset }: FleetRecords): Effect.Effect<boolean> {
    const { self, random, hasLostReplicas } = this.#options;
    const term = this.#options.term();
    this.#checked = { term, nextOffset };
    return awaitTakeoverDelay({
      delayMs: takeoverDelayMs({
        self,
        relays: [],
        jitterFraction: random(),
        hasLostLinks: hasLostReplicas(),
      }),
      awaitSuccessor: (waitMs) =>
        Effect.map(
          this.awaitSuccessor(term, waitMs),
          ({ kind }) => kind === "taken",
        ),
    });
  }

  /** Waits until the records name a leader of a later term than `term`. */
  awaitSuccessor(
    term: LogPosition,
    waitMs: number,
  ): Effect.Effect<LeaderCheck> {
    const { log } = this.#options;
    if (this.#checked.term !== term) this.#checked = { term, nextOffset: term };
    const fromOffset = this.#checked.nextOffset;
    return Effect.map(
      awaitSuccessor(log, { term, fromOffset, waitMs }),
      (check) => {
        if (check.kind === "taken") this.#foundLeader = check.leader;
        if (check.kind === "unchanged" || check.kind === "superseded-era") {
          this.#checked = { term, nextOffset: check.nextOffset };
        }
        return check;
      },
    );
  }

  /**
   * Reads the records and keeps the leader they name; undefined if the store
   * can't be read.
   */
  readRecords(): Effect.Effect<FleetRecords | undefined> {
    return readFleetRecords(this.#options.log).pipe(
      Effect.tap(({ leader }) =>
        Effect.sync(() => {
          this.#foundLeader = leader;
        })
      ),
      Effect.catch(({ message }) =>
        Effect.sync(() => {
          this.#options.record("lead.read-failed", { message });
          return undefined;
        })
      ),
    );
  }
}
