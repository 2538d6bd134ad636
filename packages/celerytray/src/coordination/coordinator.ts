import { Clock, Effect } from "effect";
import { readSteadyMs } from "../clock/index.ts";
import type { LeaderRecord, ReplicaRecord } from "../groups/index.ts";
import type { SharedTotals } from "../serving/index.ts";
import { ChangeSignal } from "./change_signal.ts";
import type { CoordinatorOptions } from "./coordinator_options.ts";
import { type StatusPath, SUM_REUSE_MS, UPDATE_GAP_MS } from "./intervals.ts";
import { LeadFollower } from "./lead_follower.ts";
import { claimLead, type FleetRecords } from "./lead_log.ts";
import { LeadSearch } from "./lead_search.ts";
import { LeadStatus } from "./lead_status.ts";
import { LeadTerm } from "./lead_term.ts";
import type {
  DemandTotals,
  KnownStatus,
  LeadAnswer,
  PeerReport,
  PeerSummary,
} from "./peer_messages.ts";
import type { LeadOperations } from "./peer_router.ts";
import { describeTopic, takeTold } from "./relayed_topic.ts";
import { ReportTable } from "./report_table.ts";

const RETRY_DELAY_MS = 300;
/** Time between two looks of a process that has left the lead to others. */
const LEFT_CHECK_MS = 250;

/** Follows the process that decides on replicas, or is it. */
export class Coordinator implements LeadOperations {
  readonly #options: CoordinatorOptions;
  readonly #table = new ReportTable();
  readonly #status = new LeadStatus();
  readonly #signal = new ChangeSignal();
  readonly #follower: LeadFollower;
  readonly #search: LeadSearch;
  #nowMs: () => number = () => 0;
  /** Set while this process decides on replicas. */
  #term: LeadTerm | undefined;
  #summary: PeerSummary;
  #summedAtMs = Number.NEGATIVE_INFINITY;
  #isLeaving = false;

  constructor(options: CoordinatorOptions) {
    this.#options = options;
    this.#summary = this.#summarizeOwn();
    this.#search = new LeadSearch({
      ...options,
      term: () => this.#status.term,
    });
    this.#follower = new LeadFollower({
      ...options,
      status: this.#status,
      summarize: () => this.#summarize(),
      known: () => this.#describeKnown(),
      onAnswer: (answer, heard) => this.#noteAnswer(answer, heard),
      awaitOtherLead: (term, waitMs) =>
        this.#search.awaitOtherLead(term, waitMs),
      nowMs: () => this.#nowMs(),
    });
  }

  /** Whether this process decides on replicas now. */
  get isLeading(): boolean {
    return this.#term !== undefined;
  }

  /** Whether this process hears the lead itself. */
  get steps(): StatusPath {
    return this.isLeading ? "direct" : this.#status.steps;
  }

  /** Processes that share the work, this one included. */
  countProcesses(): number {
    return Math.max(1, this.#status.processes);
  }

  /** Heads to which no requests should go, as replicas are taken apart. */
  listClosedHeads(): readonly string[] {
    return this.#term?.listClosedHeads() ?? this.#status.closedHeads;
  }

  /** Requests and repeats of all processes; undefined while not fresh. */
  sharedTotals(): SharedTotals | undefined {
    return this.#status.isFresh(this.#nowMs())
      ? this.#status.repeats
      : undefined;
  }

  /** Requests of all processes in progress or waiting; undefined while not fresh. */
  demandTotals(): DemandTotals | undefined {
    return this.#status.isFresh(this.#nowMs())
      ? this.#status.demand
      : undefined;
  }

  /** Time since the lead said what this process knows; undefined while not fresh. */
  statusAgeMs(): number | undefined {
    const nowMs = this.#nowMs();
    return this.#status.isFresh(nowMs)
      ? this.#status.silentMs(nowMs)
      : undefined;
  }

  /** Time until a model without a replica is to have one; undefined if not told. */
  expectedMs(model: string): number | undefined {
    const nowMs = this.#nowMs();
    return this.#status.isFresh(nowMs)
      ? this.#status.expectedMs(model, nowMs)
      : undefined;
  }

  /** Requests in progress for a model, over all processes. */
  totalDemand(model: string): number {
    return this.#summarize().demand[model] ?? 0;
  }

  /** Whether any process has had requests. */
  hasAnyTraffic(): boolean {
    return this.#summarize().hasTraffic;
  }

  /** Leaves the lead to others. */
  leave(): void {
    this.#isLeaving = true;
    this.#term?.leave();
    this.#follower.stop();
    this.#signal.notify();
  }

  /** Takes note that the list of instances or the configuration changed. */
  noteChange(): void {
    this.#signal.notify();
  }

  report(report: PeerReport): Effect.Effect<LeadAnswer> {
    return Effect.gen({ self: this }, function* () {
      this.#table.note(report, this.#nowMs());
      if (report.known.term > this.#status.term) {
        const { nodeId } = report.reporter;
        this.#term?.depose(`${nodeId} knows of term ${report.known.term}`);
      }
      this.#term?.noteHeads(report.summary);
      this.#options.onLeaving(report.summary.leaving);
      const arrivedAtMs = this.#nowMs();
      yield* this.#awaitUpdates(report);
      const heldMs = this.#nowMs() - arrivedAtMs;
      return { ...this.#answer(report.known), heldMs };
    });
  }

  heardLeadAgoMs(term: number): number | undefined {
    if (this.#status.term !== term) return undefined;
    return this.#status.silentMs(this.#nowMs());
  }

  run(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      const clock = yield* Clock.Clock;
      this.#nowMs = () => readSteadyMs(clock);
      let mayClaim = false;
      while (true) {
        if (this.#isLeaving) {
          yield* Effect.sleep(LEFT_CHECK_MS);
          continue;
        }
        const found = this.#search.takeFound();
        if (found !== undefined) {
          yield* this.#follower.follow(found);
          mayClaim = true;
          continue;
        }
        const records = yield* this.#search.readRecords();
        if (records === undefined) {
          yield* Effect.sleep(RETRY_DELAY_MS);
          continue;
        }
        if (this.#search.isToFollow(records.lead)) continue;
        if (mayClaim || !(yield* this.#search.awaitFirstTurn(records))) {
          yield* this.#claim(records);
          mayClaim = false;
        }
      }
    });
  }

  /** Takes the lead and directs replicas until another process does. */
  #claim(records: FleetRecords): Effect.Effect<void> {
    const { self, bootId, log } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const { nodeId, peerAddress } = self;
      const lead = { nodeId, bootId, peerAddress };
      const claim = yield* claimLead(log, { lead, records }).pipe(
        Effect.catch(({ message }) =>
          Effect.sync(() => {
            this.#options.record("lead.claim-failed", { message });
            return undefined;
          })
        ),
      );
      if (claim === undefined) {
        yield* Effect.sleep(RETRY_DELAY_MS);
        return;
      }
      if (claim.kind === "lost") return;
      yield* this.#lead({ ...lead, term: claim.term }, claim.replicas);
    });
  }

  #lead(
    lead: LeaderRecord,
    replicas: readonly ReplicaRecord[],
  ): Effect.Effect<void> {
    return Effect.suspend(() => {
      const term = new LeadTerm({
        ...this.#options,
        lead,
        replicas,
        status: this.#status,
        table: this.#table,
        summarize: () => this.#summarize(),
        summarizeOwn: () => this.#summarizeOwn(),
        awaitOtherLead: (termNumber, waitMs) =>
          this.#search.awaitOtherLead(termNumber, waitMs),
        onUpdate: () => this.#signal.notify(),
        nowMs: () => this.#nowMs(),
      });
      if (this.#isLeaving) term.leave();
      this.#term = term;
      return term.run().pipe(
        Effect.ensuring(Effect.sync(() => {
          this.#term = undefined;
        })),
      );
    });
  }

  /** Waits until a process has something to learn, or its report's time is over. */
  #awaitUpdates({ known, holdMs }: PeerReport): Effect.Effect<void> {
    const { instances, config } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const startedAtMs = this.#nowMs();
      while (!this.#isLeaving && !this.#status.hasUpdates(known)) {
        const passedMs = this.#nowMs() - startedAtMs;
        const hasChanged = instances.copy.nextOffset > known.instancesOffset ||
          config.copy.nextOffset > known.configOffset;
        const remainingMs =
          (hasChanged ? Math.min(holdMs, UPDATE_GAP_MS) : holdMs) -
          passedMs;
        if (remainingMs <= 0) return;
        yield* this.#signal.awaitChange(Math.ceil(remainingMs));
      }
    });
  }

  #answer(known: KnownStatus): Omit<LeadAnswer, "heldMs"> {
    const nowMs = this.#nowMs();
    const { instances, config } = this.#options;
    return {
      isLeading: this.#term?.isDeposed === false,
      ...this.#status.describe(known, nowMs),
      // Who reports to a process that leaves is to turn to another.
      ...(this.#isLeaving ? { statusAgeMs: null } : {}),
      config: describeTopic(config, known.configOffset, nowMs),
      instances: describeTopic(instances, known.instancesOffset, nowMs),
    };
  }

  #noteAnswer(
    answer: LeadAnswer,
    heard: { readonly publishedAtMs: number; readonly steps: StatusPath },
  ): void {
    const { config, instances, onLeaving } = this.#options;
    takeTold(config, answer.config, heard.publishedAtMs);
    takeTold(instances, answer.instances, heard.publishedAtMs);
    if (answer.updates !== undefined) onLeaving(answer.updates.value.leaving);
    if (this.#status.adopt(answer, heard)) this.#signal.notify();
  }

  #describeKnown(): KnownStatus {
    return {
      ...this.#status.known,
      instancesOffset: this.#options.instances.copy.nextOffset,
      configOffset: this.#options.config.copy.nextOffset,
    };
  }

  #summarize(): PeerSummary {
    const nowMs = this.#nowMs();
    if (nowMs - this.#summedAtMs >= SUM_REUSE_MS) {
      this.#summary = this.#table.sumUp(this.#summarizeOwn(), nowMs);
      this.#summedAtMs = nowMs;
    }
    return this.#summary;
  }

  #summarizeOwn(): PeerSummary {
    const options = this.#options;
    return {
      processes: 1,
      candidates: [options.self],
      stalledHeads: options.listStalledHeads(),
      slowHeads: options.listSlowHeads(),
      leaving: options.listLeaving(),
      demand: options.demand(),
      tenantDemand: options.tenantDemand(),
      repeats: options.retryTotals(),
      hasTraffic: options.hasTraffic(),
    };
  }
}
