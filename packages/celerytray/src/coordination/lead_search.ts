import { Effect } from "effect";
import type { LeaderRecord } from "../groups/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import type { KeyedLog } from "../keyed_log/index.ts";
import {
  awaitOtherLead,
  type FleetRecords,
  type LeadLook,
  readFleetRecords,
} from "./lead_log.ts";
import { awaitTurn, turnDelayMs } from "./lead_succession.ts";
import type { PeerNode } from "./peer_messages.ts";

/** What looking for a lead works with. */
export interface LeadSearchOptions {
  readonly self: PeerNode;
  readonly log: KeyedLog;
  /** Term of the lead that was followed last; 0 before one was. */
  readonly term: () => number;
  /** 0 to 1. */
  readonly random: () => number;
  readonly record: RecordEvent;
}

/** Finds out from the records which process leads. */
export class LeadSearch {
  readonly #options: LeadSearchOptions;
  /** Newest lead that the records named. */
  #found: LeaderRecord | undefined;
  /** Up to where the records were looked through for a lead after a term. */
  #looked = { term: 0, nextOffset: 0 };

  constructor(options: LeadSearchOptions) {
    this.#options = options;
  }

  /** Another lead than was followed last, if one was found. */
  takeFound(): LeaderRecord | undefined {
    const found = this.#found;
    this.#found = undefined;
    return this.isToFollow(found) ? found : undefined;
  }

  /** Whether a lead is another than the one followed last and this process. */
  isToFollow(lead: LeaderRecord | undefined): boolean {
    return lead !== undefined && lead.term !== this.#options.term() &&
      lead.nodeId !== this.#options.self.nodeId;
  }

  /** Lets the most able process be the first; whether another has been. */
  awaitFirstTurn({ nextOffset }: FleetRecords): Effect.Effect<boolean> {
    const { self, random } = this.#options;
    const term = this.#options.term();
    this.#looked = { term, nextOffset };
    return awaitTurn({
      delayMs: turnDelayMs({ self, relays: [], chance: random() }),
      awaitTaken: (waitMs) =>
        Effect.map(
          this.awaitOtherLead(term, waitMs),
          ({ kind }) => kind === "taken",
        ),
    });
  }

  /** Waits until the records name another lead than that of a term. */
  awaitOtherLead(term: number, waitMs: number): Effect.Effect<LeadLook> {
    const { log } = this.#options;
    if (this.#looked.term !== term) this.#looked = { term, nextOffset: term };
    const fromOffset = this.#looked.nextOffset;
    return Effect.map(
      awaitOtherLead(log, { term, fromOffset, waitMs }),
      (look) => {
        if (look.kind === "taken") this.#found = look.lead;
        if (look.kind === "unchanged") {
          this.#looked = { term, nextOffset: look.nextOffset };
        }
        return look;
      },
    );
  }

  /** The records, of which a lead is remembered; undefined while they can't be read. */
  readRecords(): Effect.Effect<FleetRecords | undefined> {
    return readFleetRecords(this.#options.log).pipe(
      Effect.tap(({ lead }) =>
        Effect.sync(() => {
          this.#found = lead;
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
