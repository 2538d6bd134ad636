import { Clock, Effect } from "effect";
import { readSteadyMs } from "../clock/index.ts";
import {
  type FleetDirector,
  type LeadRecord,
  type ReplicaRecord,
  type ReplicaRecorder,
} from "../groups/index.ts";
import type { KeyedLog, RelayedChange, TopicCopy } from "../keyed_log/index.ts";
import type { SharedTotals, WindowTotals } from "../serving/index.ts";
import {
  claimLead,
  type FleetRecords,
  LeadRecorder,
  readFleetRecords,
} from "./lead_log.ts";
import {
  findReplacementReason,
  type ReplacementReason,
  silenceBoundMs,
} from "./lead_silence.ts";
import { awaitTurn, isHeardByOthers } from "./lead_succession.ts";
import { NodeTable } from "./node_table.ts";
import type {
  LeadAnswer,
  LeadOperations,
  PeerCalls,
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
export interface CoordinatorOptions {
  readonly nodeId: string;
  readonly bootId: string;
  readonly peerAddress: string;
  readonly log: KeyedLog;
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
  /** How far this process knows the configuration, and since when it was all. */
  readonly configProof: () => ConfigProof;
  /** Takes what the lead tells of the configuration. */
  readonly onConfigProof: (proof: ConfigProof) => void;
  /** The list of instances as this process knows it. */
  readonly instances: TopicCopy;
  /** Takes what the lead tells of the list of instances. */
  readonly onInstances: (change: RelayedChange) => void;
  readonly createDirector: (start: DirectorStart) => FleetDirector;
  readonly record: (kind: string, fields: Record<string, unknown>) => void;
}

/** That there was no configuration after an offset at a time. */
export interface ConfigProof {
  readonly nextOffset: number;
  readonly provenAtMs: number;
}

const REPORT_INTERVAL_MS = 250;
/** Interval for each process, which bounds the reports that a lead takes. */
const REPORT_SPREAD_MS = 10;
/** Steps in which heads that newly stand still are noticed. */
const STEP_MS = 50;
/** Age of the lead's last answer, beyond a report's interval, at which the list is read from the store. */
const TOLD_AGE_MS = 450;
/** Age of its last answer from the store at which that is done too. */
const TOLD_STORE_AGE_MS = 3_500;
const RETRY_DELAY_MS = 300;

/** Follows the process that decides on replicas, or is it. */
export class Coordinator implements LeadOperations {
  readonly #options: CoordinatorOptions;
  readonly #nodes = new NodeTable();
  #nowMs: () => number = () => 0;
  #lead: LeadRecord | undefined;
  #director: FleetDirector | undefined;
  #isDeposed = false;
  #isLeaving = false;
  #isFollowing = false;
  #heardAtMs = 0;
  /** Whether the lead's address refuses connections. */
  #isLeadDown = false;
  #answer: LeadAnswer | undefined;
  #ownTotals: SharedTotals = { atMs: Number.NEGATIVE_INFINITY, totals: {} };

  constructor(options: CoordinatorOptions) {
    this.#options = options;
  }

  /** Whether this process decides on replicas now. */
  get isLeading(): boolean {
    return this.#director !== undefined;
  }

  /** Processes that share the work, this one included. */
  countNodes(): number {
    const nodes = this.isLeading
      ? this.#listNodes().length
      : this.#answer?.nodes.length;
    return Math.max(1, nodes ?? 1);
  }

  /** Heads to which no requests should go, as replicas are taken apart. */
  listClosedHeads(): readonly string[] {
    if (this.#director !== undefined) return this.#director.listClosedHeads();
    return this.#answer?.closedHeads ?? [];
  }

  /** Whether a lead that hears the store tells of the list of instances. */
  hearsLead(): boolean {
    const answer = this.#findFreshAnswer();
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
    const answer = this.#findFreshAnswer();
    return answer === undefined
      ? undefined
      : { atMs: this.#heardAtMs, totals: answer.repeats };
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
  }

  report(report: PeerReport): LeadAnswer {
    const nowMs = this.#nowMs();
    this.#nodes.noteReport(report, nowMs);
    if (this.#lead !== undefined && report.term > this.#lead.term) {
      this.#depose(`${report.nodeId} knows of term ${report.term}`);
    }
    this.#noteHeads(report);
    return {
      isLeading: this.isLeading && !this.#isDeposed,
      term: this.#lead?.term ?? 0,
      storeAgeMs: nowMs - this.#options.storeAnsweredAtMs(),
      nodes: this.#listNodes(),
      repeats: this.#sumRepeats(),
      closedHeads: this.#director?.listClosedHeads() ?? [],
      config: this.#describeConfig(),
      instances: this.#options.instances.since(report.instancesOffset),
    };
  }

  heardLeadAgoMs(term: number): number | undefined {
    if (this.#lead?.term !== term) return undefined;
    return this.#nowMs() - this.#heardAtMs;
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
          this.#isFollowing = true;
          yield* this.#follow(records.lead!);
          this.#isFollowing = false;
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
        yield* Effect.sleep(STEP_MS);
      }
    });
  }

  /** Reports to the lead until it is to be replaced. */
  #follow(lead: LeadRecord): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      this.#options.record("lead.followed", {
        term: lead.term,
        lead: lead.nodeId,
      });
      this.#heardAtMs = this.#nowMs();
      this.#isLeadDown = false;
      while (!this.#isLeaving) {
        const sentAtMs = this.#nowMs();
        const answer = yield* this.#report(lead);
        if (answer !== undefined) {
          this.#answer = answer;
          this.#noteConfig(answer, sentAtMs);
          if (answer.isLeading && answer.instances.records.length > 0) {
            this.#options.onInstances(answer.instances);
          }
        }
        const reason = findReplacementReason({
          answer,
          isDown: this.#isLeadDown,
          silentMs: this.#nowMs() - this.#heardAtMs,
          ownStoreAgeMs: this.#nowMs() - this.#options.storeAnsweredAtMs(),
          reportIntervalMs: this.#reportIntervalMs(),
        });
        if (reason !== undefined && (yield* this.#mayReplace(lead, reason))) {
          return;
        }
        yield* this.#awaitReport();
      }
    });
  }

  /** Longer with more processes, which bounds the reports that a lead takes. */
  #reportIntervalMs(): number {
    return Math.max(REPORT_INTERVAL_MS, this.countNodes() * REPORT_SPREAD_MS);
  }

  /** Waits for the next report; a head that newly stands still hastens it. */
  #awaitReport(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const known = new Set(this.#options.listStalledHeads());
      const dueAtMs = this.#nowMs() + this.#reportIntervalMs();
      while (this.#nowMs() < dueAtMs) {
        yield* Effect.sleep(STEP_MS);
        const stalled = this.#options.listStalledHeads();
        if (stalled.some((headId) => !known.has(headId))) return;
      }
    });
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
    }).pipe(
      Effect.tap(({ isLeading, term }) =>
        Effect.sync(() => {
          this.#isLeadDown = false;
          if (isLeading && term === lead.term) this.#heardAtMs = this.#nowMs();
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
      const newest = yield* this.#readRecords();
      if (newest === undefined) return false;
      const isReplaced = newest.lead !== undefined &&
        newest.lead.term !== lead.term;
      if (isReplaced) return true;
      const { nodeId, client } = this.#options;
      const others = (this.#answer?.nodes ?? []).filter((node) =>
        node.nodeId !== lead.nodeId
      );
      const rank = yield* awaitTurn({ nodeId, others });
      const isHeard = reason === "it is silent" && (yield* isHeardByOthers({
        client,
        term: lead.term,
        others: others.filter((node) => node.nodeId !== nodeId),
        boundMs: silenceBoundMs({ reportIntervalMs: this.#reportIntervalMs() }),
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

  /** The lead's last answer, while it still counts. */
  #findFreshAnswer(): LeadAnswer | undefined {
    if (!this.#isFollowing || this.#answer?.isLeading !== true) {
      return undefined;
    }
    const ageMs = this.#nowMs() - this.#heardAtMs;
    const maxAgeMs = TOLD_AGE_MS + this.#reportIntervalMs();
    return ageMs < maxAgeMs ? this.#answer : undefined;
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

  #describeConfig(): LeadAnswer["config"] {
    const { nextOffset, provenAtMs } = this.#options.configProof();
    const ageMs = this.#nowMs() - provenAtMs;
    return { nextOffset, proofAgeMs: Number.isFinite(ageMs) ? ageMs : null };
  }

  /** The answer was given after its report was sent, so its proof is no older. */
  #noteConfig({ isLeading, config }: LeadAnswer, sentAtMs: number): void {
    if (!isLeading || config.proofAgeMs === null) return;
    const provenAtMs = sentAtMs - config.proofAgeMs;
    this.#options.onConfigProof({ nextOffset: config.nextOffset, provenAtMs });
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
