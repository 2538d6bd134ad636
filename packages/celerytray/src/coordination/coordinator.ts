import { Clock, Effect } from "effect";
import { readSteadyMs } from "../clock/index.ts";
import type { InstanceAddress, Reaches } from "../groups/index.ts";
import type { Gateway, SharedTotals } from "../serving/index.ts";
import { ChangeSignal } from "./change_signal.ts";
import { applyToldConfig, describeConfig } from "./config_in_force.ts";
import type { CoordinatorOptions } from "./coordinator_options.ts";
import { RETRY_DELAY_MS, type StatusPath } from "./intervals.ts";
import { LeaderFollower } from "./leader_follower.ts";
import { KnownSilences } from "./known_silences.ts";
import { LeaderSearch } from "./leader_search.ts";
import { LeaderStatus } from "./leader_status.ts";
import { OwnTerms } from "./own_terms.ts";
import type {
  DemandTotals,
  KnownStatus,
  PeerReport,
  ReportReply,
} from "./peer_messages.ts";
import type { CoordinationOperations } from "./peer_router.ts";
import { applyRelayedTopic } from "./relayed_topic.ts";
import { ReportReplies } from "./report_replies.ts";
import { ReportTable } from "./report_table.ts";
import { Summaries } from "./summaries.ts";
import { UpgradeTakeover } from "./upgrade_takeover.ts";

/** Interval at which a process that has resigned checks its state. */
const RESIGNED_CHECK_INTERVAL_MS = 250;

/**
 * Takes part in leader election: leads, or follows the process that leads. The
 * leader decides on replicas.
 */
export class Coordinator implements CoordinationOperations {
  readonly #options: CoordinatorOptions;
  readonly #reportTable: ReportTable;
  readonly #status = new LeaderStatus();
  readonly #changeSignal = new ChangeSignal();
  readonly #replies: ReportReplies;
  readonly #follower: LeaderFollower;
  readonly #search: LeaderSearch;
  readonly #knownSilences = new KnownSilences();
  readonly #summaries: Summaries;
  readonly #terms: OwnTerms;
  #nowMs: () => number = () => 0;
  #hasResigned = false;
  /** Version of the configuration in force at the process that replied last. */
  #repliedConfigVersion: number | undefined;

  constructor(options: CoordinatorOptions) {
    this.#options = options;
    this.#reportTable = new ReportTable(options);
    this.#summaries = new Summaries({
      ...options,
      table: this.#reportTable,
      nowMs: () => this.#nowMs(),
    });
    this.#search = new LeaderSearch({
      ...options,
      term: () => this.#status.term,
    });
    this.#terms = new OwnTerms({
      ...options,
      status: this.#status,
      table: this.#reportTable,
      summaries: this.#summaries,
      search: this.#search,
      changeSignal: this.#changeSignal,
      silentSinceMs: () => this.#knownSilences.listSince(this.#nowMs()),
      hasResigned: () => this.#hasResigned,
      nowMs: () => this.#nowMs(),
    });
    this.#replies = new ReportReplies({
      ...options,
      status: this.#status,
      changeSignal: this.#changeSignal,
      isLeading: () => this.#terms.current?.hasSteppedDown === false,
      hasResigned: () => this.#hasResigned,
      nowMs: () => this.#nowMs(),
    });
    this.#follower = new LeaderFollower({
      ...options,
      status: this.#status,
      upgrade: new UpgradeTakeover({
        ...options,
        search: this.#search,
        terms: this.#terms,
      }),
      topicsAgeMs: () =>
        this.#nowMs() -
        Math.min(options.config.provenAtMs(), options.instances.provenAtMs()),
      summarize: () => this.#summaries.all(),
      known: () => this.#describeKnown(),
      toldConfig: () =>
        describeConfig(options.configInForce, this.#repliedConfigVersion),
      onReply: (reply, source) => this.#applyReply(reply, source),
      awaitSuccessor: (term, waitMs) =>
        this.#search.awaitSuccessor(term, waitMs),
      nowMs: () => this.#nowMs(),
    });
  }

  get isLeading(): boolean {
    return this.#terms.current !== undefined;
  }

  /**
   * Whether the leader's status comes from the leader itself or from a relay.
   */
  get statusPath(): StatusPath {
    return this.isLeading ? "direct" : this.#status.statusPath;
  }

  /** Number of processes in the deployment, this one included. */
  countProcesses(): number {
    return Math.max(1, this.#status.processes);
  }

  /**
   * Number of processes in the deployment; undefined while the leader does not
   * know all of them.
   */
  knownProcesses(): number | undefined {
    const { processes, areTotalsComplete } = this.#status;
    return areTotalsComplete ? Math.max(1, processes) : undefined;
  }

  /**
   * Heads that must get no requests because their replicas are being dissolved.
   */
  listClosedHeads(): readonly string[] {
    return this.#terms.current?.listClosedHeads() ?? this.#status.closedHeads;
  }

  /**
   * Heads of serving replicas with a member that does not answer the leader;
   * none while the status is not fresh, as they may have answered since.
   */
  listSilentHeads(): readonly string[] {
    if (this.#terms.current !== undefined) {
      return this.#terms.current.listSilentHeads();
    }
    return this.#status.isFresh(this.#nowMs()) ? this.#status.silentHeads : [];
  }

  /** Other processes that may serve requests while the links are lost. */
  listGateways(): readonly Gateway[] {
    const { nodeId } = this.#options.self;
    return this.#status.gateways.filter((gateway) => gateway.nodeId !== nodeId);
  }

  /**
   * Requests and retries of all processes; undefined while the status is not
   * fresh or does not cover all of them.
   */
  sharedTotals(): SharedTotals | undefined {
    const { areTotalsComplete } = this.#status;
    return areTotalsComplete && this.#status.isFresh(this.#nowMs())
      ? this.#status.retryTotals
      : undefined;
  }

  /**
   * Requests of all processes in progress or waiting; undefined while the
   * status is not fresh.
   */
  demandTotals(): DemandTotals | undefined {
    return this.#status.isFresh(this.#nowMs())
      ? this.#status.demand
      : undefined;
  }

  /**
   * Age of the leader's status at this process; undefined while it is not
   * fresh.
   */
  statusAgeMs(): number | undefined {
    const nowMs = this.#nowMs();
    return this.#status.isFresh(nowMs)
      ? this.#status.statusAgeMs(nowMs)
      : undefined;
  }

  /**
   * Time until a model without a replica is expected to have one; undefined if
   * the leader gave no estimate.
   */
  expectedMs(model: string): number | undefined {
    const nowMs = this.#nowMs();
    return this.#status.isFresh(nowMs)
      ? this.#status.expectedMs(model, nowMs)
      : undefined;
  }

  totalDemand(model: string): number {
    return this.#summaries.all().demand[model] ?? 0;
  }

  hasAnyTraffic(): boolean {
    return this.#summaries.all().hasTraffic;
  }

  /** Gives up leadership for good, as this process is shutting down. */
  resign(): void {
    this.#hasResigned = true;
    this.#terms.current?.resign();
    this.#follower.stop();
    this.#changeSignal.notify();
  }

  /**
   * Wakes pending reports after a change of the instance list or configuration.
   */
  noteChange(): void {
    this.#changeSignal.notify();
  }

  report(report: PeerReport): Effect.Effect<ReportReply> {
    return Effect.gen({ self: this }, function* () {
      this.#reportTable.addReport(report, this.#nowMs());
      applyToldConfig(this.#options.configInForce, report);
      if (report.known.term > this.#status.term) {
        const { nodeId } = report.reporter;
        this.#terms.current?.yieldToSuccessor(
          `${nodeId} reported the later term ${report.known.term}`,
        );
      }
      this.#terms.current?.reportHeads(report.summary);
      this.#options.onLeaving(report.summary.leaving);
      return yield* this.#replies.reply(report);
    });
  }

  heardLeadAgoMs(term: number): number | undefined {
    if (this.#status.term !== term) return undefined;
    return this.#status.statusAgeMs(this.#nowMs());
  }

  findReaches(
    instances: readonly InstanceAddress[],
  ): Effect.Effect<Reaches> {
    return Effect.suspend(() => {
      const askedAtMs = this.#nowMs();
      return Effect.tap(
        this.#options.findReaches(instances),
        (reaches) =>
          Effect.sync(() => {
            const nowMs = this.#nowMs();
            this.#knownSilences.note(reaches, { askedAtMs, nowMs });
          }),
      );
    });
  }

  run(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      const clock = yield* Clock.Clock;
      this.#nowMs = () => readSteadyMs(clock);
      let mayClaim = false;
      while (true) {
        if (this.#hasResigned) {
          yield* Effect.sleep(RESIGNED_CHECK_INTERVAL_MS);
          continue;
        }
        const found = this.#search.takeFoundLeader();
        if (found !== undefined) {
          this.#terms.forgetLast();
          mayClaim = (yield* this.#follower.follow(found)) === "to-replace";
          continue;
        }
        const records = yield* this.#search.readRecords();
        if (records === undefined) {
          yield* Effect.sleep(RETRY_DELAY_MS);
          continue;
        }
        this.#options.quarantine.load(records.quarantined);
        if (this.#search.shouldFollow(records.leader)) continue;
        mayClaim ||= this.#terms.recallReplicas(records) !== undefined;
        if (mayClaim || !(yield* this.#search.awaitInitialDelay(records))) {
          yield* this.#terms.claim(records);
          mayClaim = false;
        }
      }
    });
  }

  #applyReply(
    reply: ReportReply,
    source: { readonly publishedAtMs: number; readonly statusPath: StatusPath },
  ): void {
    const { config, instances, onLeaving } = this.#options;
    applyToldConfig(this.#options.configInForce, reply);
    this.#repliedConfigVersion = reply.configVersion;
    const times = {
      publishedAtMs: source.publishedAtMs,
      nowMs: this.#nowMs(),
    };
    applyRelayedTopic(config, reply.config, times);
    applyRelayedTopic(instances, reply.instances, times);
    if (reply.updates !== undefined) onLeaving(reply.updates.value.leaving);
    if (this.#status.adopt(reply, source)) this.#changeSignal.notify();
    if (reply.updates !== undefined) {
      this.#options.quarantine.adopt(this.#status.quarantine);
      this.#options.limits.adopt(this.#status.limits, this.#nowMs());
    }
  }

  #describeKnown(): KnownStatus {
    return {
      ...this.#status.known,
      instancesOffset: this.#options.instances.copy.nextOffset,
      configOffset: this.#options.config.copy.nextOffset,
    };
  }
}
