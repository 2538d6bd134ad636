import { Effect } from "effect";
import type { RecordEvent } from "../journal/index.ts";
import type { LeaderRecord } from "../groups/index.ts";
import {
  HEADS_STEP_MS,
  LEAD_HOLD_MS,
  RELAY_HOLD_MS,
  REPORT_GAP_MS,
  silenceMs,
  STALE_RELAY_MS,
  type StatusPath,
} from "./intervals.ts";
import type { LeadLook } from "./lead_log.ts";
import {
  findReplacementReason,
  type ReplacementReason,
} from "./lead_silence.ts";
import { awaitTurn, isHeardByOthers, turnDelayMs } from "./lead_succession.ts";
import type { LeadStatus } from "./lead_status.ts";
import type {
  KnownStatus,
  LeadAnswer,
  PeerNode,
  PeerSummary,
} from "./peer_messages.ts";
import type { PeerCalls } from "./peer_router.ts";
import { selectParent } from "./select_parent.ts";

/** What following the process that decides on replicas works with. */
export interface LeadFollowerOptions {
  readonly self: PeerNode;
  readonly client: PeerCalls;
  readonly status: LeadStatus;
  /** What this process and those that report to it tell. */
  readonly summarize: () => PeerSummary;
  /** What this process knows. */
  readonly known: () => KnownStatus;
  /** Takes an answer that was given at some time or later. */
  readonly onAnswer: (
    answer: LeadAnswer,
    heard: { readonly publishedAtMs: number; readonly steps: StatusPath },
  ) => void;
  /** Time of the last answer of the store to this process. */
  readonly storeAnsweredAtMs: () => number;
  /** Waits until the records name another lead than that of a term. */
  readonly awaitOtherLead: (
    term: number,
    waitMs: number,
  ) => Effect.Effect<LeadLook>;
  readonly nowMs: () => number;
  /** 0 to 1. */
  readonly random: () => number;
  readonly record: RecordEvent;
}

/** Time for which a relay is passed over that did not help. */
const AVOID_RELAY_MS = 2_000;

/** Reports to the lead or a relay of it. */
export class LeadFollower {
  readonly #options: LeadFollowerOptions;
  readonly #avoidedUntilMs = new Map<string, number>();
  #isStopped = false;
  /** Whether the newest report got no answer. */
  #isUnanswered = false;

  constructor(options: LeadFollowerOptions) {
    this.#options = options;
  }

  /** Sends no more reports. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Reports until the lead is to be replaced. */
  follow(lead: LeaderRecord): Effect.Effect<void> {
    const { status, nowMs } = this.#options;
    return Effect.gen({ self: this }, function* () {
      status.setLead(lead, nowMs());
      this.#recordFollowed();
      while (!this.#isStopped) {
        const sentAtMs = nowMs();
        const reason = yield* this.#reportOnce();
        if (reason !== undefined && (yield* this.#mayReplace(reason))) return;
        const gapMs = sentAtMs + REPORT_GAP_MS - nowMs();
        if (gapMs > 0) yield* Effect.sleep(Math.ceil(gapMs));
      }
    });
  }

  /** Reports, and tells why the lead is to be replaced, if it is. */
  #reportOnce(): Effect.Effect<ReplacementReason | undefined> {
    const { self, status, nowMs, onAnswer } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const { term } = status;
      const relay = this.#selectRelay();
      const steps: StatusPath = relay === undefined ? "direct" : "relayed";
      const address = (relay ?? status.lead!).peerAddress;
      if (address === self.peerAddress) return "it doesn't lead";
      const sentAtMs = nowMs();
      const outcome = yield* this.#report(address, steps);
      let deniesLead = false;
      if (outcome.kind === "answered") {
        const { answer } = outcome;
        // It was given no sooner than its report was sent and kept.
        onAnswer(answer, { publishedAtMs: sentAtMs + answer.heldMs, steps });
        if (status.term !== term) this.#recordFollowed();
        deniesLead = relay === undefined && !answer.isLeading &&
          status.term === term;
      }
      if (relay !== undefined) this.#judgeRelay(relay, outcome);
      return findReplacementReason({
        deniesLead,
        isDown: relay === undefined && outcome.kind === "silent" &&
          outcome.isRefused,
        steps,
        silentMs: status.silentMs(nowMs()),
        leadStoreAgeMs: status.storeAgeMs(nowMs()),
        ownStoreAgeMs: nowMs() - this.#options.storeAnsweredAtMs(),
      });
    });
  }

  /** Sends a report; something urgent to tell ends the wait for its answer. */
  #report(address: string, steps: StatusPath): Effect.Effect<ReportOutcome> {
    const { self, client, summarize, known, record } = this.#options;
    return Effect.suspend(() => {
      const summary = summarize();
      const usualHoldMs = steps === "direct" ? LEAD_HOLD_MS : RELAY_HOLD_MS;
      const report = {
        reporter: self,
        summary,
        known: known(),
        holdMs: this.#isUnanswered ? 0 : usualHoldMs,
      };
      return client.report(address, report).pipe(
        Effect.map((answer): ReportOutcome => {
          this.#isUnanswered = false;
          return { kind: "answered", answer };
        }),
        Effect.catch(({ message, isRefused }) =>
          Effect.sync((): ReportOutcome => {
            this.#isUnanswered = true;
            const event = steps === "direct" ? "lead.silent" : "relay.silent";
            record(event, { message, isRefused });
            return { kind: "silent", isRefused };
          })
        ),
        Effect.raceFirst(this.#awaitUrgent(listUrgent(summary))),
      );
    });
  }

  /** Ends once there is something that the lead should hear of at once. */
  #awaitUrgent(told: readonly string[]): Effect.Effect<ReportOutcome> {
    const known = new Set(told);
    const hasNew = () =>
      listUrgent(this.#options.summarize()).some((item) => !known.has(item));
    return Effect.gen(function* () {
      while (!hasNew()) yield* Effect.sleep(HEADS_STEP_MS);
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

  /** Relays but the lead, which may have been one before. */
  #listRelays(): readonly PeerNode[] {
    const { lead, relays } = this.#options.status;
    return relays.filter(({ nodeId }) => nodeId !== lead?.nodeId);
  }

  /** Passes a relay over that doesn't answer or hears nothing of the lead. */
  #judgeRelay({ nodeId }: PeerNode, outcome: ReportOutcome): void {
    if (outcome.kind === "overtaken") return;
    const { statusAgeMs } = outcome.kind === "answered"
      ? outcome.answer
      : { statusAgeMs: null };
    if (statusAgeMs !== null && statusAgeMs < STALE_RELAY_MS) return;
    this.#isUnanswered = true;
    this.#avoidedUntilMs.set(nodeId, this.#options.nowMs() + AVOID_RELAY_MS);
  }

  /** Whether this process is the one to try, and no other hears the lead. */
  #mayReplace(reason: ReplacementReason): Effect.Effect<boolean> {
    const { self, client, status, awaitOtherLead, record } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const lead = status.lead!;
      const look = yield* awaitOtherLead(lead.term, 0);
      if (look.kind === "unknown") return false;
      if (look.kind === "taken") return true;
      const relays = this.#listRelays();
      const delayMs = turnDelayMs({
        self,
        relays,
        chance: this.#options.random(),
      });
      const isTaken = yield* awaitTurn({
        delayMs,
        awaitTaken: (waitMs) =>
          Effect.map(
            awaitOtherLead(lead.term, waitMs),
            ({ kind }) => kind === "taken",
          ),
      });
      if (isTaken) return true;
      const isHeard = reason === "it is silent" && (yield* isHeardByOthers({
        client,
        term: lead.term,
        others: relays.filter(({ nodeId }) => nodeId !== self.nodeId),
        boundMs: silenceMs("direct"),
      }));
      if (isHeard) return false;
      record("lead.replacing", {
        term: lead.term,
        lead: lead.nodeId,
        reason,
        delayMs,
      });
      return true;
    });
  }

  #recordFollowed(): void {
    const { term, nodeId } = this.#options.status.lead!;
    this.#options.record("lead.followed", { term, lead: nodeId });
  }
}

/** What became of a report. */
type ReportOutcome =
  | { readonly kind: "answered"; readonly answer: LeadAnswer }
  | { readonly kind: "silent"; readonly isRefused: boolean }
  /** Something urgent came up before its answer. */
  | { readonly kind: "overtaken" };

/** What the lead should hear of at once. */
function listUrgent(
  { stalledHeads, leaving }: PeerSummary,
): readonly string[] {
  return [
    ...stalledHeads,
    ...leaving.map(({ instanceId }) => `${instanceId} leaving`),
  ];
}
