import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import {
  LEADER_HOLD_MS,
  leaderTimeoutMs,
  MAX_RELAY_STATUS_AGE_MS,
  maxRelayedAgeMs,
  MIN_REPORT_INTERVAL_MS,
  RELAY_HOLD_MS,
  type StatusPath,
  URGENT_CHECK_INTERVAL_MS,
} from "./intervals.ts";
import type { ToldConfig } from "./config_in_force.ts";
import type { LeaderCheck } from "./leader_log.ts";
import {
  findReplacementReason,
  type ReplacementReason,
} from "./replacement_reason.ts";
import {
  awaitTakeoverDelay,
  isHeardByOthers,
  takeoverDelayMs,
} from "./leader_succession.ts";
import type { LeadingProcess } from "./leading_process.ts";
import { listUrgent } from "./list_urgent.ts";
import type { LeaderStatus } from "./leader_status.ts";
import type {
  KnownStatus,
  PeerNode,
  PeerSummary,
  ReportReply,
} from "./peer_messages.ts";
import type { PeerCalls } from "./peer_router.ts";
import { RefusalWatch } from "./refusal_watch.ts";
import { selectParent } from "./select_parent.ts";
import { MAX_DIRECT_PROCESSES } from "./select_relays.ts";
import type { TakeoverOutcome, UpgradeTakeover } from "./upgrade_takeover.ts";

/** Dependencies of a follower. */
export interface LeaderFollowerOptions {
  readonly self: PeerNode;
  readonly bootId: string;
  readonly client: PeerCalls;
  readonly status: LeaderStatus;
  /** Returns a summary of this process and of those that report to it. */
  readonly summarize: () => PeerSummary;
  /** Returns what this process already knows, which replies omit. */
  readonly known: () => KnownStatus;
  /** Returns what to tell of the configuration in force. */
  readonly toldConfig: () => ToldConfig;
  /** Handles a reply that was given at `publishedAtMs` or later. */
  readonly onReply: (
    reply: ReportReply,
    source: { readonly publishedAtMs: number; readonly statusPath: StatusPath },
  ) => void;
  /** Time of the store's last response to this process. */
  readonly storeAnsweredAtMs: () => number;
  /** Waits until the records name a leader of a later term. */
  readonly awaitSuccessor: (
    term: number,
    waitMs: number,
  ) => Effect.Effect<LeaderCheck>;
  /** Whether this process does not reach the replicas that a leader controls. */
  readonly hasLostReplicas: () => boolean;
  /** Time since the older of the relayed topics was known to be up to date. */
  readonly topicsAgeMs: () => number;
  /** Takes the lead from a leader of an earlier version. */
  readonly upgrade: UpgradeTakeover;
  readonly nowMs: () => number;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
  readonly record: RecordEvent;
}

/** Time for which an unresponsive or stale relay is avoided. */
const RELAY_AVOIDANCE_MS = 2_000;
/** Reports overtaken in a row from which they are logged. */
const MIN_LOGGED_OVERTAKEN = 3;

/** Reports to the leader or to one of its relays. */
export class LeaderFollower {
  readonly #options: LeaderFollowerOptions;
  readonly #avoidedUntilMs = new Map<string, number>();
  readonly #refusals = new RefusalWatch();
  #isStopped = false;
  /**
   * Whether the last report got no reply, one of no use, or was overtaken by
   * urgent news. The next report is then not held.
   */
  #isUnanswered = false;
  /** Reports since the last reply that urgent news ended. */
  #overtakenReports = 0;

  constructor(options: LeaderFollowerOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Sends reports until another process leads, or is to. */
  follow(leader: LeadingProcess): Effect.Effect<EndOfFollowing> {
    const { status, nowMs, upgrade } = this.#options;
    return Effect.gen({ self: this }, function* () {
      status.setLeader(leader, nowMs());
      this.#refusals.note({ isRefused: false, nowMs: nowMs() });
      this.#recordFollowedLeader();
      while (!this.#isStopped) {
        const sentAtMs = nowMs();
        const reason = yield* this.#reportOnce();
        if (reason !== undefined && (yield* this.#mayReplace(reason))) break;
        if (this.#isUpgradeDue(reason)) {
          const outcome = yield* upgrade.attempt(status.leader!);
          if (outcome !== "kept") return outcome;
        }
        const gapMs = sentAtMs + MIN_REPORT_INTERVAL_MS - nowMs();
        if (gapMs > 0) yield* Effect.sleep(Math.ceil(gapMs));
      }
      return "to-replace";
    });
  }

  /** Whether to take the lead now, as the leader is of an earlier version. */
  #isUpgradeDue(reason: ReplacementReason | undefined): boolean {
    const { status, upgrade, topicsAgeMs, hasLostReplicas } = this.#options;
    const nowMs = this.#options.nowMs();
    const maxAgeMs = maxRelayedAgeMs(status.statusPath);
    const isSound = reason === undefined && !this.#isStopped &&
      !this.#isUnanswered && status.isFresh(nowMs) &&
      status.areTotalsComplete && status.storeAgeMs(nowMs) < maxAgeMs &&
      topicsAgeMs() < maxAgeMs && !hasLostReplicas() && this.#mayLeadAll();
    return upgrade.isDue({
      leader: status.leader!,
      isSound,
      nowMs,
    });
  }

  /** Whether this process has enough cores to lead: relays have the most. */
  #mayLeadAll(): boolean {
    const { self, status } = this.#options;
    return status.processes <= MAX_DIRECT_PROCESSES ||
      this.#listRelays().some(({ nodeId }) => nodeId === self.nodeId);
  }

  /**
   * Sends one report; returns the reason to replace the leader, if there is
   * one.
   */
  #reportOnce(): Effect.Effect<ReplacementReason | undefined> {
    const { self, status, nowMs, onReply } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const { term } = status;
      const relay = this.#selectRelay();
      const statusPath: StatusPath = relay === undefined ? "direct" : "relayed";
      const address = (relay ?? status.leader!).peerAddress;
      if (address === self.peerAddress) return "it doesn't lead";
      const sentAtMs = nowMs();
      const outcome = yield* this.#report(address, statusPath);
      let deniesLeadership = false;
      if (outcome.kind === "overtaken") {
        this.#isUnanswered = true;
        this.#overtakenReports += 1;
      }
      if (outcome.kind === "answered") {
        const { reply } = outcome;
        this.#recordOvertaken();
        // The reply was given after the report was sent and held, whatever the
        // other process's clock says.
        onReply(reply, {
          publishedAtMs: Math.min(sentAtMs + reply.heldMs, nowMs()),
          statusPath,
        });
        if (status.term !== term) this.#recordFollowedLeader();
        deniesLeadership = relay === undefined && !reply.isLeading &&
          status.term === term;
      }
      if (relay !== undefined) this.#updateRelayAvoidance(relay, outcome);
      return findReplacementReason({
        deniesLeadership,
        isDown: relay === undefined && this.#noteRefusal(outcome),
        statusPath,
        statusAgeMs: status.statusAgeMs(nowMs()),
        leaderStoreAgeMs: status.storeAgeMs(nowMs()),
        ownStoreAgeMs: nowMs() - this.#options.storeAnsweredAtMs(),
      });
    });
  }

  /** Notes how a report to the leader ended; whether the leader is down. */
  #noteRefusal(outcome: ReportOutcome): boolean {
    if (outcome.kind === "overtaken") return false;
    const isRefused = outcome.kind === "silent" && outcome.isRefused;
    return this.#refusals.note({ isRefused, nowMs: this.#options.nowMs() });
  }

  /** Sends a report. Urgent news ends the wait for its reply. */
  #report(
    address: string,
    statusPath: StatusPath,
  ): Effect.Effect<ReportOutcome> {
    const { self, bootId, client, summarize, known, record } = this.#options;
    return Effect.suspend(() => {
      const summary = summarize();
      const maxHoldMs = statusPath === "direct"
        ? LEADER_HOLD_MS
        : RELAY_HOLD_MS;
      const report = {
        reporter: self,
        bootId,
        summary,
        known: known(),
        ...this.#options.toldConfig(),
        holdMs: this.#isUnanswered ? 0 : maxHoldMs,
      };
      return client.report(address, report).pipe(
        Effect.map((reply): ReportOutcome => {
          this.#isUnanswered = false;
          return { kind: "answered", reply };
        }),
        Effect.catch(({ message, isRefused }) =>
          Effect.sync((): ReportOutcome => {
            this.#isUnanswered = true;
            const event = statusPath === "direct"
              ? "lead.silent"
              : "relay.silent";
            record(event, { message, isRefused });
            return { kind: "silent", isRefused };
          })
        ),
        Effect.raceFirst(this.#awaitUrgent(listUrgent(summary))),
      );
    });
  }

  /** Waits for urgent news that the sent report did not contain. */
  #awaitUrgent(reported: readonly string[]): Effect.Effect<ReportOutcome> {
    const known = new Set(reported);
    const hasNew = () =>
      listUrgent(this.#options.summarize()).some((item) => !known.has(item));
    return Effect.gen(function* () {
      while (!hasNew()) yield* Effect.sleep(URGENT_CHECK_INTERVAL_MS);
      return { kind: "overtaken" };
    });
  }

  #selectRelay(): PeerNode | undefined {
    const { self, status, nowMs } = this.#options;
    const atMs = nowMs();
    return selectParent({
      self,
      processes: status.processes,
      relays: this.#listRelays(),
      isAvoided: (nodeId) => (this.#avoidedUntilMs.get(nodeId) ?? atMs) > atMs,
    });
  }

  /** Relays without the leader, which may have been a relay before. */
  #listRelays(): readonly PeerNode[] {
    const { leader, relays } = this.#options.status;
    return relays.filter(({ nodeId }) => nodeId !== leader?.nodeId);
  }

  /**
   * Avoids a relay for a while if it did not respond or its status of the
   * leader is stale.
   */
  #updateRelayAvoidance({ nodeId }: PeerNode, outcome: ReportOutcome): void {
    if (outcome.kind === "overtaken") return;
    const { statusAgeMs } = outcome.kind === "answered"
      ? outcome.reply
      : { statusAgeMs: null };
    if (statusAgeMs !== null && statusAgeMs < MAX_RELAY_STATUS_AGE_MS) return;
    this.#isUnanswered = true;
    this.#avoidedUntilMs.set(
      nodeId,
      this.#options.nowMs() + RELAY_AVOIDANCE_MS,
    );
  }

  /**
   * Waits for this process's turn; whether it may then replace the leader. It
   * may not while the store is unavailable or another process still has a recent
   * status of the leader.
   */
  #mayReplace(reason: ReplacementReason): Effect.Effect<boolean> {
    const { self, client, status, awaitSuccessor, record } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const leader = status.leader!;
      const check = yield* awaitSuccessor(leader.term, 0);
      if (check.kind === "unknown") return false;
      if (check.kind === "taken") return true;
      const relays = this.#listRelays();
      const delayMs = takeoverDelayMs({
        self,
        relays,
        jitterFraction: this.#options.random(),
        hasLostLinks: this.#options.hasLostReplicas(),
      });
      const isTaken = yield* awaitTakeoverDelay({
        delayMs,
        awaitSuccessor: (waitMs) =>
          Effect.map(
            awaitSuccessor(leader.term, waitMs),
            ({ kind }) => kind === "taken",
          ),
      });
      if (isTaken) return true;
      const maxAgeMs = this.#findHeardAgeMs(reason);
      const isHeard = maxAgeMs > 0 && (yield* isHeardByOthers({
        client,
        term: leader.term,
        others: relays.filter(({ nodeId }) => nodeId !== self.nodeId),
        maxAgeMs,
      }));
      if (isHeard) return false;
      record("lead.replacing", {
        term: leader.term,
        lead: leader.nodeId,
        reason,
        delayMs,
      });
      return true;
    });
  }

  /** Age up to which a status at another process speaks for the leader. */
  #findHeardAgeMs(reason: ReplacementReason): number {
    if (reason === "it is silent") return leaderTimeoutMs("direct");
    if (reason !== "it is down") return 0;
    return this.#refusals.refusedMs(this.#options.nowMs()) - LEADER_HOLD_MS;
  }

  /** Logs the reports that got no reply, if there were several in a row. */
  #recordOvertaken(): void {
    const { status, record, nowMs } = this.#options;
    const reports = this.#overtakenReports;
    this.#overtakenReports = 0;
    if (reports < MIN_LOGGED_OVERTAKEN) return;
    const statusAgeMs = status.statusAgeMs(nowMs());
    record("report.overtaken", { reports, statusAgeMs });
  }

  #recordFollowedLeader(): void {
    const { term, nodeId } = this.#options.status.leader!;
    this.#options.record("lead.followed", { term, lead: nodeId });
  }
}

/** Why a follower no longer follows its leader. */
export type EndOfFollowing =
  /** The leader is to be replaced, or has been. */
  | "to-replace"
  | Exclude<TakeoverOutcome, "kept">;

/** Outcome of a report. */
type ReportOutcome =
  | { readonly kind: "answered"; readonly reply: ReportReply }
  | { readonly kind: "silent"; readonly isRefused: boolean }
  /** Urgent news came up before the reply. */
  | { readonly kind: "overtaken" };
