import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import type { LeadRecord, LeavingLife } from "../groups/index.ts";
import type { RelayedChange, TopicCopy } from "../keyed_log/index.ts";
import type { WindowTotals } from "../serving/index.ts";
import type { FleetRecords } from "./lead_log.ts";
import {
  findReplacementReason,
  type ReplacementReason,
  silenceBoundMs,
} from "./lead_silence.ts";
import { awaitTurn, isHeardByOthers } from "./lead_succession.ts";
import type { LeadAnswer, PeerCalls } from "./peer_router.ts";

/** What following the process that decides on replicas works with. */
export interface LeadFollowerOptions {
  readonly nodeId: string;
  readonly peerAddress: string;
  readonly client: PeerCalls;
  /** Heads at which requests of this process stand still. */
  readonly listStalledHeads: () => readonly string[];
  /** Heads of replicas that this process finds slow. */
  readonly listSlowHeads: () => readonly string[];
  /** Requests of this process in progress, by model. */
  readonly demand: () => Readonly<Record<string, number>>;
  /** Requests and repeats of this process in its window, by service. */
  readonly repeats: () => Readonly<Record<string, WindowTotals>>;
  readonly hasTraffic: () => boolean;
  /** Time of the last answer of the store to this process. */
  readonly storeAnsweredAtMs: () => number;
  /** Takes what the lead tells of the configuration. */
  readonly onConfigProof: (proof: ConfigProof) => void;
  /** The list of instances as this process knows it. */
  readonly instances: TopicCopy;
  /** Instances that said that they leave, though the list has them as ready. */
  readonly listLeaving: () => readonly LeavingLife[];
  /** Takes the word of instances that other processes have heard. */
  readonly onLeaving: (lives: readonly LeavingLife[]) => void;
  /** Takes what the lead tells of the list of instances. */
  readonly onInstances: (change: RelayedChange) => void;
  /** The newest records; undefined where the store doesn't answer. */
  readonly readRecords: () => Effect.Effect<FleetRecords | undefined>;
  readonly reportIntervalMs: () => number;
  readonly nowMs: () => number;
  readonly record: RecordEvent;
}

/** That there was no configuration after an offset at a time. */
export interface ConfigProof {
  readonly nextOffset: number;
  readonly provenAtMs: number;
}

/** Steps in which heads that newly stand still are noticed. */
export const HEADS_STEP_MS = 50;
/** Age of the lead's last answer, beyond a report's interval, at which the list is read from the store. */
const TOLD_AGE_MS = 450;

/** Reports to the process that decides on replicas. */
export class LeadFollower {
  readonly #options: LeadFollowerOptions;
  #isFollowing = false;
  #isStopped = false;
  #heardAtMs = 0;
  /** Whether the lead's address refuses connections. */
  #isLeadDown = false;
  #answer: LeadAnswer | undefined;

  constructor(options: LeadFollowerOptions) {
    this.#options = options;
  }

  /** The newest answer of any lead. */
  get answer(): LeadAnswer | undefined {
    return this.#answer;
  }

  /** Time at which the lead answered last, or following it began. */
  get heardAtMs(): number {
    return this.#heardAtMs;
  }

  /** The lead's last answer, while it still counts. */
  findFreshAnswer(): LeadAnswer | undefined {
    if (!this.#isFollowing || this.#answer?.isLeading !== true) {
      return undefined;
    }
    const ageMs = this.#options.nowMs() - this.#heardAtMs;
    const maxAgeMs = TOLD_AGE_MS + this.#options.reportIntervalMs();
    return ageMs < maxAgeMs ? this.#answer : undefined;
  }

  /** Sends no more reports. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Reports to the lead until it is to be replaced. */
  follow(lead: LeadRecord): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      this.#isFollowing = true;
      this.#options.record("lead.followed", {
        term: lead.term,
        lead: lead.nodeId,
      });
      this.#heardAtMs = this.#options.nowMs();
      this.#isLeadDown = false;
      while (!this.#isStopped) {
        const sentAtMs = this.#options.nowMs();
        const answer = yield* this.#report(lead);
        if (answer !== undefined) {
          this.#answer = answer;
          this.#noteConfig(answer, sentAtMs);
          if (answer.isLeading && answer.instances.records.length > 0) {
            this.#options.onInstances(answer.instances);
          }
          this.#options.onLeaving(answer.leaving);
        }
        const reason = findReplacementReason({
          answer,
          isDown: this.#isLeadDown,
          silentMs: this.#options.nowMs() - this.#heardAtMs,
          ownStoreAgeMs: this.#options.nowMs() -
            this.#options.storeAnsweredAtMs(),
          reportIntervalMs: this.#options.reportIntervalMs(),
        });
        if (reason !== undefined && (yield* this.#mayReplace(lead, reason))) {
          return;
        }
        yield* this.#awaitReport();
      }
    }).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          this.#isFollowing = false;
        }),
      ),
    );
  }

  /**
   * Waits for the next report; a head that newly stands still and an instance
   * that newly says that it leaves hasten it.
   */
  #awaitReport(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const known = new Set(this.#listUrgent());
      const dueAtMs = this.#options.nowMs() + this.#options.reportIntervalMs();
      while (this.#options.nowMs() < dueAtMs) {
        yield* Effect.sleep(HEADS_STEP_MS);
        if (this.#listUrgent().some((id) => !known.has(id))) return;
      }
    });
  }

  /** Instances whose state the lead should hear of at once. */
  #listUrgent(): readonly string[] {
    const { listStalledHeads, listLeaving } = this.#options;
    return [
      ...listStalledHeads(),
      ...listLeaving().map(({ instanceId }) => `${instanceId} leaving`),
    ];
  }

  #report(lead: LeadRecord): Effect.Effect<LeadAnswer | undefined> {
    const { nodeId, peerAddress, client } = this.#options;
    return client.report(lead.peerAddress, {
      nodeId,
      peerAddress,
      term: lead.term,
      stalledHeads: this.#options.listStalledHeads(),
      slowHeads: this.#options.listSlowHeads(),
      demand: this.#options.demand(),
      repeats: this.#options.repeats(),
      hasTraffic: this.#options.hasTraffic(),
      instancesOffset: this.#options.instances.nextOffset,
      leaving: this.#options.listLeaving(),
    }).pipe(
      Effect.tap(({ isLeading, term }) =>
        Effect.sync(() => {
          this.#isLeadDown = false;
          if (isLeading && term === lead.term) {
            this.#heardAtMs = this.#options.nowMs();
          }
        })
      ),
      Effect.catch(({ message, isRefused }) =>
        Effect.sync(() => {
          this.#options.record("lead.silent", { message, isRefused });
          this.#isLeadDown = isRefused;
          return undefined;
        })
      ),
    );
  }

  /** Whether this process is the one to try, and no other hears the lead. */
  #mayReplace(
    lead: LeadRecord,
    reason: ReplacementReason,
  ): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const newest = yield* this.#options.readRecords();
      if (newest === undefined) return false;
      if (hasOtherLead(newest, lead)) return true;
      const { nodeId, client } = this.#options;
      const others = (this.#answer?.nodes ?? []).filter((node) =>
        node.nodeId !== lead.nodeId
      );
      const { rank, isTaken } = yield* awaitTurn({
        nodeId,
        others,
        isTaken: Effect.map(
          this.#options.readRecords(),
          (records) => records !== undefined && hasOtherLead(records, lead),
        ),
      });
      if (isTaken) return true;
      const isHeard = reason === "it is silent" && (yield* isHeardByOthers({
        client,
        term: lead.term,
        others: others.filter((node) => node.nodeId !== nodeId),
        boundMs: silenceBoundMs({
          reportIntervalMs: this.#options.reportIntervalMs(),
        }),
      }));
      if (isHeard) return false;
      this.#options.record("lead.replacing", {
        term: lead.term,
        lead: lead.nodeId,
        reason,
        rank,
      });
      return true;
    });
  }

  /** The answer was given after its report was sent, so its proof is no older. */
  #noteConfig({ isLeading, config }: LeadAnswer, sentAtMs: number): void {
    if (!isLeading || config.proofAgeMs === null) return;
    const provenAtMs = sentAtMs - config.proofAgeMs;
    this.#options.onConfigProof({ nextOffset: config.nextOffset, provenAtMs });
  }
}

/** Whether another process has taken the lead, as the records say. */
function hasOtherLead(records: FleetRecords, lead: LeadRecord): boolean {
  return records.lead !== undefined && records.lead.term !== lead.term;
}
