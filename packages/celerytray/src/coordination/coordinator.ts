import { Clock, Effect } from "effect";
import { readSteadyMs } from "../clock/index.ts";
import {
  type FleetDirector,
  type LeadRecord,
  type LeavingIncarnation,
  type ReplicaRecord,
  type ReplicaRecorder,
} from "../groups/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import type { KeyedLog, RelayedChange, TopicCopy } from "../keyed_log/index.ts";
import type { SharedTotals, WindowTotals } from "../serving/index.ts";
import { ChangeSignal } from "./change_signal.ts";
import {
  INHERIT_MS,
  PUBLISH_STEP_MS,
  type StatusPath,
  SUM_REUSE_MS,
  UPDATE_GAP_MS,
} from "./intervals.ts";
import { LeadFollower } from "./lead_follower.ts";
import {
  awaitOtherLead,
  claimLead,
  type FleetRecords,
  type LeadLook,
  LeadRecorder,
  readFleetRecords,
} from "./lead_log.ts";
import { awaitTurn, turnDelayMs } from "./lead_succession.ts";
import { LeadStatus } from "./lead_status.ts";
import type {
  DemandTotals,
  KnownEnd,
  KnownStatus,
  LeadAnswer,
  PeerNode,
  PeerReport,
  PeerSummary,
} from "./peer_messages.ts";
import type { LeadOperations, PeerCalls } from "./peer_router.ts";
import { ReportTable } from "./report_table.ts";
import { selectRelays } from "./select_relays.ts";

/** What a new lead directs the replicas with. */
export interface DirectorStart {
  readonly term: number;
  readonly replicas: readonly ReplicaRecord[];
  readonly recorder: ReplicaRecorder;
}

/** A topic of the store that processes tell each other of. */
export interface RelayedTopic {
  /** What this process knows of it. */
  readonly copy: TopicCopy;
  /** Time before which that was the newest. */
  readonly provenAtMs: () => number;
  /** Takes what another process tells, which was the newest at a time. */
  readonly onTold: (change: RelayedChange, provenAtMs: number) => void;
}

/** What taking part in deciding on replicas works with. */
export interface CoordinatorOptions {
  readonly self: PeerNode;
  readonly bootId: string;
  readonly log: KeyedLog;
  readonly client: PeerCalls;
  /** Heads at which requests of this process stand still. */
  readonly listStalledHeads: () => readonly string[];
  /** Heads of replicas that this process finds slow. */
  readonly listSlowHeads: () => readonly string[];
  /** Requests of this process in progress, by model. */
  readonly demand: () => Readonly<Record<string, number>>;
  /** Requests of this process in progress or waiting, by organisation. */
  readonly tenantDemand: () => Readonly<Record<string, number>>;
  /** Requests and repeats of this process in its window, by service. */
  readonly repeats: () => Readonly<Record<string, WindowTotals>>;
  readonly hasTraffic: () => boolean;
  /** Time of the last answer of the store to this process. */
  readonly storeAnsweredAtMs: () => number;
  /** The configuration, which is told to other processes. */
  readonly config: RelayedTopic;
  /** The list of instances, likewise. */
  readonly instances: RelayedTopic;
  /** Instances that said that they leave, though the list has them as ready. */
  readonly listLeaving: () => readonly LeavingIncarnation[];
  /** Takes the status of instances that other processes have heard. */
  readonly onLeaving: (incarnations: readonly LeavingIncarnation[]) => void;
  readonly createDirector: (start: DirectorStart) => FleetDirector;
  /** 0 to 1. */
  readonly random: () => number;
  readonly record: RecordEvent;
}

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
  #nowMs: () => number = () => 0;
  #director: FleetDirector | undefined;
  #summary: PeerSummary;
  #summedAtMs = Number.NEGATIVE_INFINITY;
  #leadsSinceMs = 0;
  /** Lead whose place this process took. */
  #replacedId: string | undefined;
  #isDeposed = false;
  #isLeaving = false;
  /** Newest lead that the records named. */
  #found: LeadRecord | undefined;
  /** Up to where the records were looked through for a lead after a term. */
  #looked = { term: 0, nextOffset: 0 };

  constructor(options: CoordinatorOptions) {
    this.#options = options;
    this.#summary = this.#summarizeOwn();
    this.#follower = new LeadFollower({
      ...options,
      status: this.#status,
      summarize: () => this.#summarize(),
      known: () => this.#describeKnown(),
      onAnswer: (answer, heard) => this.#noteAnswer(answer, heard),
      awaitOtherLead: (term, waitMs) => this.#awaitOtherLead(term, waitMs),
      nowMs: () => this.#nowMs(),
    });
  }

  /** Whether this process decides on replicas now. */
  get isLeading(): boolean {
    return this.#director !== undefined;
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
    return this.#director?.listClosedHeads() ?? this.#status.closedHeads;
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
    this.#isDeposed = true;
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
      if (this.isLeading && report.known.term > this.#status.term) {
        const { nodeId } = report.reporter;
        this.#depose(`${nodeId} knows of term ${report.known.term}`);
      }
      this.#noteHeads(report.summary);
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
        const found = this.#takeFound();
        if (found !== undefined) {
          yield* this.#follower.follow(found);
          mayClaim = true;
          continue;
        }
        const records = yield* this.#readRecords();
        if (records === undefined) {
          yield* Effect.sleep(RETRY_DELAY_MS);
          continue;
        }
        this.#found = records.lead;
        if (this.#isToFollow(records.lead)) continue;
        if (mayClaim || !(yield* this.#awaitFirstTurn(records))) {
          yield* this.#claim(records);
          mayClaim = false;
        }
      }
    });
  }

  /** Another lead than was followed last, if one was found. */
  #takeFound(): LeadRecord | undefined {
    const found = this.#found;
    this.#found = undefined;
    return this.#isToFollow(found) ? found : undefined;
  }

  #isToFollow(lead: LeadRecord | undefined): boolean {
    return lead !== undefined && lead.term !== this.#status.term &&
      lead.nodeId !== this.#options.self.nodeId;
  }

  /** Lets the most able process be the first; whether another has been. */
  #awaitFirstTurn({ nextOffset }: FleetRecords): Effect.Effect<boolean> {
    const { self, random } = this.#options;
    const term = this.#status.term;
    this.#looked = { term, nextOffset };
    return awaitTurn({
      delayMs: turnDelayMs({ self, relays: [], chance: random() }),
      awaitTaken: (waitMs) =>
        Effect.map(
          this.#awaitOtherLead(term, waitMs),
          ({ kind }) => kind === "taken",
        ),
    });
  }

  #awaitOtherLead(term: number, waitMs: number): Effect.Effect<LeadLook> {
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
    lead: LeadRecord,
    replicas: readonly ReplicaRecord[],
  ): Effect.Effect<void> {
    const { log, createDirector, record } = this.#options;
    const { term } = lead;
    return Effect.gen({ self: this }, function* () {
      this.#leadsSinceMs = this.#nowMs();
      this.#replacedId = this.#status.lead?.nodeId;
      this.#status.setLead(lead, this.#leadsSinceMs);
      this.#isDeposed = this.#isLeaving;
      record("lead.taken", { term, replicas: replicas.length });
      const recorder = new LeadRecorder({
        log,
        term,
        onDeposed: (message) => this.#depose(message),
      });
      this.#director = createDirector({ term, replicas, recorder });
      yield* Effect.scoped(this.#director.run()).pipe(
        Effect.raceFirst(this.#publishUntilDeposed()),
        Effect.ensuring(Effect.sync(() => {
          this.#director = undefined;
        })),
      );
    });
  }

  #depose(message: string): void {
    if (this.#isDeposed || !this.isLeading) return;
    this.#isDeposed = true;
    this.#options.record("lead.lost", { term: this.#status.term, message });
  }

  /** Says what the lead has to say, at once where it is new. */
  #publishUntilDeposed(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (!this.#isDeposed) {
        this.#noteHeads(this.#summarizeOwn());
        if (this.#publish()) this.#signal.notify();
        yield* Effect.sleep(PUBLISH_STEP_MS);
      }
    });
  }

  #publish(): boolean {
    const nowMs = this.#nowMs();
    const { self, storeAnsweredAtMs, listLeaving } = this.#options;
    const { processes: heard, repeats, demand, tenantDemand } = this
      .#summarize();
    const processes = this.#isNewLead(nowMs) ? this.#status.processes : heard;
    return this.#status.publish({
      processes,
      repeats,
      demand: { byModel: demand, byTenant: tenantDemand },
      expectedMs: this.#director!.expectedMs(nowMs),
      relays: selectRelays({
        leadId: self.nodeId,
        processes,
        candidates: this.#listCandidates(nowMs),
        previous: this.#status.relays,
      }),
      updates: {
        closedHeads: this.#director!.listClosedHeads(),
        leaving: listLeaving(),
      },
      // The store took the record by which this process leads.
      storeAnsweredAtMs: Math.max(storeAnsweredAtMs(), this.#leadsSinceMs),
    }, nowMs);
  }

  /** Whether those that followed the lead before may not all report here yet. */
  #isNewLead(nowMs: number): boolean {
    return this.#status.processes > 1 &&
      nowMs - this.#leadsSinceMs < INHERIT_MS;
  }

  /** Processes that may be relays; those that are report here themselves. */
  #listCandidates(nowMs: number): readonly PeerNode[] {
    if (this.#isNewLead(nowMs)) {
      const replacedId = this.#replacedId;
      return this.#status.relays.filter(({ nodeId }) => nodeId !== replacedId);
    }
    const reporters = this.#table.listReporters(nowMs);
    const present = new Set(reporters.map(({ nodeId }) => nodeId));
    const relayIds = new Set(
      this.#status.relays.map(({ nodeId }) => nodeId),
    );
    const named = this.#table.listCandidates(nowMs).filter(({ nodeId }) =>
      present.has(nodeId) || !relayIds.has(nodeId)
    );
    return [...reporters, ...named];
  }

  #noteHeads(
    { stalledHeads, slowHeads }: Pick<
      PeerSummary,
      "stalledHeads" | "slowHeads"
    >,
  ): void {
    for (const headId of stalledHeads) this.#director?.noteStalled(headId);
    for (const headId of slowHeads) this.#director?.noteSlow(headId);
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
      isLeading: this.isLeading && !this.#isDeposed,
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
      repeats: options.repeats(),
      hasTraffic: options.hasTraffic(),
    };
  }
}

/** What a process that knows a topic up to an offset is to be told of it. */
function describeTopic(
  { copy, provenAtMs }: RelayedTopic,
  fromOffset: number,
  nowMs: number,
): RelayedChange & KnownEnd {
  const ageMs = copy.canTellSince(fromOffset)
    ? nowMs - provenAtMs()
    : Number.POSITIVE_INFINITY;
  return {
    ...copy.since(fromOffset),
    proofAgeMs: Number.isFinite(ageMs) ? ageMs : null,
  };
}

function takeTold(
  { onTold }: RelayedTopic,
  told: RelayedChange & KnownEnd,
  publishedAtMs: number,
): void {
  if (told.proofAgeMs !== null) onTold(told, publishedAtMs - told.proofAgeMs);
}
