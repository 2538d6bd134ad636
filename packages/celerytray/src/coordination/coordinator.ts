import { Clock, Effect } from "effect";
import { readSteadyMs } from "../clock/index.ts";
import type { LeaderRecord, ReplicaRecord } from "../groups/index.ts";
import { eraOf, type LogPosition } from "../keyed_log/index.ts";
import type { SharedTotals } from "../serving/index.ts";
import { ChangeSignal } from "./change_signal.ts";
import { applyToldConfig, describeConfig } from "./config_in_force.ts";
import type { CoordinatorOptions } from "./coordinator_options.ts";
import { type StatusPath, SUMMARY_CACHE_MS } from "./intervals.ts";
import { LeaderFollower } from "./leader_follower.ts";
import { claimLeadership, type FleetRecords } from "./leader_log.ts";
import { LeaderSearch } from "./leader_search.ts";
import { LeaderStatus } from "./leader_status.ts";
import { LeaderTerm } from "./leader_term.ts";
import type {
  DemandTotals,
  KnownStatus,
  PeerReport,
  PeerSummary,
  ReportReply,
} from "./peer_messages.ts";
import type { CoordinationOperations } from "./peer_router.ts";
import { applyRelayedTopic } from "./relayed_topic.ts";
import { ReportReplies } from "./report_replies.ts";
import { ReportTable } from "./report_table.ts";

/** A term of this process that is over. */
interface EndedTerm {
  readonly term: LogPosition;
  readonly replicas: readonly ReplicaRecord[];
}

const RETRY_DELAY_MS = 300;
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
  #nowMs: () => number = () => 0;
  /** Set while this process is the leader. */
  #term: LeaderTerm | undefined;
  #summary: PeerSummary;
  #summarizedAtMs = Number.NEGATIVE_INFINITY;
  #hasResigned = false;
  /** Version of the configuration in force at the process that replied last. */
  #repliedConfigVersion: number | undefined;
  /** This process's last term, unless another process has led since. */
  #lastTerm: EndedTerm | undefined;

  constructor(options: CoordinatorOptions) {
    this.#options = options;
    this.#reportTable = new ReportTable(options);
    this.#summary = this.#summarizeOwn();
    this.#search = new LeaderSearch({
      ...options,
      term: () => this.#status.term,
    });
    this.#replies = new ReportReplies({
      ...options,
      status: this.#status,
      changeSignal: this.#changeSignal,
      isLeading: () => this.#term?.hasSteppedDown === false,
      hasResigned: () => this.#hasResigned,
      nowMs: () => this.#nowMs(),
    });
    this.#follower = new LeaderFollower({
      ...options,
      status: this.#status,
      summarize: () => this.#summarize(),
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
    return this.#term !== undefined;
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
    return this.#term?.listClosedHeads() ?? this.#status.closedHeads;
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
    return this.#summarize().demand[model] ?? 0;
  }

  hasAnyTraffic(): boolean {
    return this.#summarize().hasTraffic;
  }

  /** Gives up leadership for good, as this process is shutting down. */
  resign(): void {
    this.#hasResigned = true;
    this.#term?.resign();
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
        this.#term?.yieldToSuccessor(
          `${nodeId} reported the later term ${report.known.term}`,
        );
      }
      this.#term?.reportHeads(report.summary);
      this.#options.onLeaving(report.summary.leaving);
      return yield* this.#replies.reply(report);
    });
  }

  heardLeadAgoMs(term: number): number | undefined {
    if (this.#status.term !== term) return undefined;
    return this.#status.statusAgeMs(this.#nowMs());
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
          this.#lastTerm = undefined;
          yield* this.#follower.follow(found);
          mayClaim = true;
          continue;
        }
        const records = yield* this.#search.readRecords();
        if (records === undefined) {
          yield* Effect.sleep(RETRY_DELAY_MS);
          continue;
        }
        this.#options.quarantine.load(records.quarantined);
        if (this.#search.shouldFollow(records.leader)) continue;
        mayClaim ||= this.#recallReplicas(records) !== undefined;
        if (mayClaim || !(yield* this.#search.awaitInitialDelay(records))) {
          yield* this.#claimLeadership(records);
          mayClaim = false;
        }
      }
    });
  }

  /**
   * Claims leadership and, if that succeeds, leads until another process does.
   */
  #claimLeadership(records: FleetRecords): Effect.Effect<void> {
    const { self, bootId, log } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const { nodeId, peerAddress } = self;
      const leader = { nodeId, bootId, peerAddress };
      const claim = yield* claimLeadership(log, { leader, records }).pipe(
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
      yield* this.#runTerm({ ...leader, term: claim.term }, records);
    });
  }

  #runTerm(
    leader: LeaderRecord,
    records: FleetRecords,
  ): Effect.Effect<void> {
    return Effect.suspend(() => {
      const term = new LeaderTerm({
        ...this.#options,
        leader,
        stored: records.replicas,
        remembered: this.#recallReplicas(records),
        quarantined: records.quarantined,
        status: this.#status,
        table: this.#reportTable,
        summarize: () => this.#summarize(),
        summarizeOwn: () => this.#summarizeOwn(),
        awaitSuccessor: (termNumber, waitMs) =>
          this.#search.awaitSuccessor(termNumber, waitMs),
        onUpdate: () => this.#changeSignal.notify(),
        nowMs: () => this.#nowMs(),
      });
      if (this.#hasResigned) term.resign();
      this.#term = term;
      return term.run().pipe(
        Effect.ensuring(Effect.sync(() => {
          this.#lastTerm = term.hasSuccessor ? undefined : {
            term: leader.term,
            replicas: term.listReplicas(),
          };
          this.#term = undefined;
        })),
      );
    });
  }

  /**
   * Returns the replicas of this process's last term if the records come from
   * an older copy of the store; undefined where the records are to be believed.
   */
  #recallReplicas(
    { leader, nextOffset }: FleetRecords,
  ): readonly ReplicaRecord[] | undefined {
    const last = this.#lastTerm;
    if (last === undefined || eraOf(nextOffset) === eraOf(last.term)) return;
    return (leader?.term ?? 0) > last.term ? undefined : last.replicas;
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

  #summarize(): PeerSummary {
    const nowMs = this.#nowMs();
    if (nowMs - this.#summarizedAtMs >= SUMMARY_CACHE_MS) {
      this.#summary = this.#reportTable.summarize(this.#summarizeOwn(), nowMs);
      this.#summarizedAtMs = nowMs;
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
      quarantine: options.quarantine.report(this.#nowMs()),
      limits: options.limits.report(this.#nowMs()),
    };
  }
}
