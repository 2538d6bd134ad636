import { Clock, Effect } from "effect";
import { readSteadyMs } from "../clock/index.ts";
import {
  type FleetDirector,
  type LeadRecord,
  type ReplicaRecord,
  type ReplicaRecorder,
} from "../groups/index.ts";
import type { KeyedLog } from "../keyed_log/index.ts";
import type { SharedTotals, WindowTotals } from "../serving/index.ts";
import {
  claimLead,
  type FleetRecords,
  LeadRecorder,
  readFleetRecords,
} from "./lead_log.ts";
import {
  type ConfigProof,
  HEADS_STEP_MS,
  LeadFollower,
  type LeadFollowerOptions,
} from "./lead_follower.ts";
import { NodeTable } from "./node_table.ts";
import type {
  LeadAnswer,
  LeadOperations,
  PeerNode,
  PeerReport,
} from "./peer_router.ts";

/** What a new lead directs the replicas with. */
export interface DirectorStart {
  readonly term: number;
  readonly replicas: readonly ReplicaRecord[];
  readonly recorder: ReplicaRecorder;
}

/** What taking part in deciding on replicas works with. */
export interface CoordinatorOptions
  extends
    Omit<LeadFollowerOptions, "readRecords" | "reportIntervalMs" | "nowMs"> {
  readonly bootId: string;
  readonly log: KeyedLog;
  /** How far this process knows the configuration, and since when it was all. */
  readonly configProof: () => ConfigProof;
  readonly createDirector: (start: DirectorStart) => FleetDirector;
}

const REPORT_INTERVAL_MS = 250;
/** Interval for each process, which bounds the reports that a lead takes. */
const REPORT_SPREAD_MS = 10;
/** Age of the lead's last answer from the store at which the list is read here. */
const TOLD_STORE_AGE_MS = 2_000;
const RETRY_DELAY_MS = 300;

/** Follows the process that decides on replicas, or is it. */
export class Coordinator implements LeadOperations {
  readonly #options: CoordinatorOptions;
  readonly #nodes = new NodeTable();
  readonly #follower: LeadFollower;
  #nowMs: () => number = () => 0;
  #lead: LeadRecord | undefined;
  #director: FleetDirector | undefined;
  #isDeposed = false;
  #isLeaving = false;
  #ownTotals: SharedTotals = { atMs: Number.NEGATIVE_INFINITY, totals: {} };

  constructor(options: CoordinatorOptions) {
    this.#options = options;
    this.#follower = new LeadFollower({
      ...options,
      readRecords: () => this.#readRecords(),
      reportIntervalMs: () => this.#reportIntervalMs(),
      nowMs: () => this.#nowMs(),
    });
  }

  /** Whether this process decides on replicas now. */
  get isLeading(): boolean {
    return this.#director !== undefined;
  }

  /** Processes that share the work, this one included. */
  countNodes(): number {
    const nodes = this.isLeading
      ? this.#listNodes().length
      : this.#follower.answer?.nodes.length;
    return Math.max(1, nodes ?? 1);
  }

  /** Heads to which no requests should go, as replicas are taken apart. */
  listClosedHeads(): readonly string[] {
    if (this.#director !== undefined) return this.#director.listClosedHeads();
    return this.#follower.answer?.closedHeads ?? [];
  }

  /** Whether a lead that hears the store tells of the list of instances. */
  hearsLead(): boolean {
    const answer = this.#follower.findFreshAnswer();
    return answer !== undefined && answer.storeAgeMs < TOLD_STORE_AGE_MS;
  }

  /** Requests and repeats of all processes; undefined while not fresh. */
  sharedTotals(): SharedTotals | undefined {
    const nowMs = this.#nowMs();
    if (this.isLeading) {
      if (nowMs - this.#ownTotals.atMs >= this.#reportIntervalMs()) {
        this.#ownTotals = { atMs: nowMs, totals: this.#sumRepeats() };
      }
      return this.#ownTotals;
    }
    const answer = this.#follower.findFreshAnswer();
    return answer === undefined
      ? undefined
      : { atMs: this.#follower.heardAtMs, totals: answer.repeats };
  }

  /** Requests in progress for a model, over all processes. */
  totalDemand(model: string): number {
    return (this.#options.demand()[model] ?? 0) +
      this.#nodes.countDemand(model, this.#nowMs());
  }

  /** Whether any process has had requests. */
  hasAnyTraffic(): boolean {
    return this.#options.hasTraffic() || this.#nodes.hadTraffic();
  }

  /** Leaves the lead to others. */
  leave(): void {
    this.#isLeaving = true;
    this.#isDeposed = true;
    this.#follower.stop();
  }

  report(report: PeerReport): LeadAnswer {
    const nowMs = this.#nowMs();
    this.#nodes.noteReport(report, nowMs);
    if (this.#lead !== undefined && report.term > this.#lead.term) {
      this.#depose(`${report.nodeId} knows of term ${report.term}`);
    }
    this.#noteHeads(report);
    this.#options.onLeaving(report.leaving);
    return {
      isLeading: this.isLeading && !this.#isDeposed,
      term: this.#lead?.term ?? 0,
      storeAgeMs: nowMs - this.#options.storeAnsweredAtMs(),
      nodes: this.#listNodes(),
      repeats: this.#sumRepeats(),
      closedHeads: this.#director?.listClosedHeads() ?? [],
      config: this.#describeConfig(),
      instances: this.#options.instances.since(report.instancesOffset),
      leaving: this.#options.listLeaving(),
    };
  }

  heardLeadAgoMs(term: number): number | undefined {
    if (this.#lead?.term !== term) return undefined;
    return this.#nowMs() - this.#follower.heardAtMs;
  }

  run(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      const clock = yield* Clock.Clock;
      this.#nowMs = () => readSteadyMs(clock);
      while (true) {
        if (this.#isLeaving) {
          yield* Effect.sleep(REPORT_INTERVAL_MS);
          continue;
        }
        const records = yield* this.#readRecords();
        if (records === undefined) {
          yield* Effect.sleep(RETRY_DELAY_MS);
          continue;
        }
        const isTaken = records.lead !== undefined &&
          records.lead.term !== this.#lead?.term &&
          records.lead.nodeId !== this.#options.nodeId;
        if (isTaken) {
          this.#lead = records.lead;
          yield* this.#follower.follow(records.lead!);
        } else {
          yield* this.#claim(records);
        }
      }
    });
  }

  #readRecords(): Effect.Effect<FleetRecords | undefined> {
    return readFleetRecords(this.#options.log).pipe(
      Effect.catch(({ message }) =>
        Effect.sync(() => {
          this.#options.record("lead.read-failed", { message });
          return undefined;
        })
      ),
    );
  }

  /** Takes the lead and directs replicas until another process does. */
  #claim(records: FleetRecords): Effect.Effect<void> {
    const { nodeId, bootId, peerAddress, log } = this.#options;
    return Effect.gen({ self: this }, function* () {
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
      const { term, replicas } = claim;
      this.#lead = { ...lead, term };
      this.#isDeposed = this.#isLeaving;
      this.#options.record("lead.taken", { term, replicas: replicas.length });
      const recorder = new LeadRecorder({
        log,
        term,
        onDeposed: (message) => this.#depose(message),
      });
      this.#director = this.#options.createDirector({
        term,
        replicas,
        recorder,
      });
      yield* Effect.scoped(this.#director.run()).pipe(
        Effect.raceFirst(this.#awaitDeposed()),
      );
      this.#director = undefined;
    });
  }

  #depose(message: string): void {
    if (this.#isDeposed || !this.isLeading) return;
    this.#isDeposed = true;
    this.#options.record("lead.lost", { term: this.#lead?.term, message });
  }

  #awaitDeposed(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (!this.#isDeposed) {
        this.#noteHeads({
          stalledHeads: this.#options.listStalledHeads(),
          slowHeads: this.#options.listSlowHeads(),
        });
        yield* Effect.sleep(HEADS_STEP_MS);
      }
    });
  }

  #noteHeads(
    { stalledHeads, slowHeads }: Pick<
      PeerReport,
      "stalledHeads" | "slowHeads"
    >,
  ): void {
    for (const headId of stalledHeads) this.#director?.noteStalled(headId);
    for (const headId of slowHeads) this.#director?.noteSlow(headId);
  }

  /** Longer with more processes, which bounds the reports that a lead takes. */
  #reportIntervalMs(): number {
    return Math.max(REPORT_INTERVAL_MS, this.countNodes() * REPORT_SPREAD_MS);
  }

  #describeConfig(): LeadAnswer["config"] {
    const { nextOffset, provenAtMs } = this.#options.configProof();
    const ageMs = this.#nowMs() - provenAtMs;
    return { nextOffset, proofAgeMs: Number.isFinite(ageMs) ? ageMs : null };
  }

  #sumRepeats(): Readonly<Record<string, WindowTotals>> {
    return this.#nodes.sumRepeats(this.#options.repeats(), this.#nowMs());
  }

  #listNodes(): readonly PeerNode[] {
    const { nodeId, peerAddress } = this.#options;
    return [
      { nodeId, peerAddress },
      ...this.#nodes.listPresent(this.#nowMs()),
    ];
  }
}
