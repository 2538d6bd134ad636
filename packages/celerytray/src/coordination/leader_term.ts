import { Effect } from "effect";
import type {
  InstanceAddress,
  ReplicaController,
  ReplicaRecord,
} from "../groups/index.ts";
import type { CoordinatorOptions } from "./coordinator_options.ts";
import type { QuarantinedPart } from "../serving/index.ts";
import { eraOf, type LogPosition } from "../keyed_log/index.ts";
import { PUBLISH_INTERVAL_MS, TAKEOVER_GRACE_MS } from "./intervals.ts";
import { describeGateways } from "./describe_gateways.ts";
import { InheritedRetries } from "./inherited_retries.ts";
import { FencedReplicaRecorder, type LeaderCheck } from "./leader_log.ts";
import type { LeadingProcess } from "./leading_process.ts";
import type { LeaderStatus } from "./leader_status.ts";
import { SuccessorWatch } from "./successor_watch.ts";
import { LinksHandover } from "./links_handover.ts";
import type { PeerNode, PeerSummary } from "./peer_messages.ts";
import type { ReportTable } from "./report_table.ts";
import { askOthers } from "./ask_others.ts";
import { listRetired, restoreRecords } from "./restore_records.ts";
import { selectRelays } from "./select_relays.ts";
import { SharedBoards } from "./shared_boards.ts";
import { tellPredecessor } from "./tell_predecessor.ts";

/** Dependencies of a leader for one term. */
export interface LeaderTermOptions extends
  Pick<
    CoordinatorOptions,
    | "self"
    | "log"
    | "config"
    | "instances"
    | "createController"
    | "record"
    | "storeAnsweredAtMs"
    | "listLeaving"
    | "quarantine"
    | "losses"
    | "findReaches"
    | "limits"
    | "retryWindowMs"
    | "client"
    | "hasLostReplicas"
    | "random"
  > {
  readonly leader: LeadingProcess;
  /** The replicas according to the store. */
  readonly stored: readonly ReplicaRecord[];
  /**
   * The replicas of this process's last term, if that ended as the store came
   * back from an older copy; undefined otherwise.
   */
  readonly remembered: readonly ReplicaRecord[] | undefined;
  /** Parts of prompts in quarantine that the store lists. */
  readonly quarantined: readonly QuarantinedPart[];
  readonly status: LeaderStatus;
  readonly table: ReportTable;
  /** Returns a summary of this process and of those that report to it. */
  readonly summarize: () => PeerSummary;
  /** Returns a summary of this process alone. */
  readonly summarizeOwn: () => PeerSummary;
  /** Waits until the records name a leader of a later term. */
  readonly awaitSuccessor: (
    term: LogPosition,
    waitMs: number,
  ) => Effect.Effect<LeaderCheck>;
  /** Times since which instances have not answered this process. */
  readonly silentSinceMs: () => ReadonlyMap<string, number>;
  /** Called when the status has updates that are pushed to followers. */
  readonly onUpdate: () => void;
  readonly nowMs: () => number;
}

/** The term for which this process leads. */
export class LeaderTerm {
  readonly #options: LeaderTermOptions;
  readonly #controller: ReplicaController;
  readonly #successorWatch: SuccessorWatch;
  readonly #recorder: FencedReplicaRecorder;
  readonly #boards: SharedBoards;
  readonly #inheritedRetries: InheritedRetries;
  /** Whether the predecessor's status covered all processes. */
  readonly #hasInherited: boolean;
  readonly #sinceMs: number;
  /** The leader that this process replaced. */
  readonly #predecessor: LeadingProcess | undefined;
  readonly #handover = new LinksHandover();
  #hasSteppedDown = false;
  #hasSuccessor = false;

  constructor(options: LeaderTermOptions) {
    this.#options = options;
    const { leader, log, status, table, nowMs } = options;
    const { term } = leader;
    const replicas = options.remembered ?? options.stored;
    this.#sinceMs = nowMs();
    this.#predecessor = status.leader;
    this.#hasInherited = status.areTotalsComplete;
    this.#inheritedRetries = new InheritedRetries({
      totals: status.retryTotals,
      takenOverAtMs: this.#sinceMs,
      windowMs: options.retryWindowMs,
    });
    status.setLeader(leader, this.#sinceMs);
    options.record("lead.taken", { term, replicas: replicas.length });
    const ask = (instances: readonly InstanceAddress[]) =>
      askOthers(instances, {
        self: options.self,
        others: table.listReporters(nowMs()),
        client: options.client,
        random: options.random,
      });
    this.#boards = new SharedBoards({
      ...options,
      term,
      askReaches: (instances) =>
        Effect.all([
          Effect.map(options.findReaches(instances), (own) => [own]),
          ask(instances),
        ], { concurrency: 2 }).pipe(Effect.map((answers) => answers.flat())),
    });
    this.#recorder = new FencedReplicaRecorder({
      log,
      term,
      onSuperseded: (message) => this.stepDown(message),
    });
    this.#successorWatch = new SuccessorWatch({
      awaitSuccessor: (waitMs) => options.awaitSuccessor(term, waitMs),
      reportedAtMs: () => table.newestAtMs,
      nowMs,
    });
    this.#controller = options.createController({
      term,
      replicas,
      retiredNames: listRetired({ replicas, stored: options.stored }),
      recorder: this.#recorder,
      silentSinceMs: options.silentSinceMs(),
      random: options.random,
      askOthers: ask,
      onOutdated: () => this.#successorWatch.noteOutdatedOrder(),
    });
  }

  /** Whether this process no longer leads, or is about to stop leading. */
  get hasSteppedDown(): boolean {
    return this.#hasSteppedDown;
  }

  /** Whether another process is known to have claimed a later term. */
  get hasSuccessor(): boolean {
    return this.#hasSuccessor;
  }

  /** The replicas that there are, whether or not the store has their records. */
  listReplicas(): readonly ReplicaRecord[] {
    return this.#controller.listReplicas();
  }

  /** Leads until another process does or the store's era is over. */
  run(): Effect.Effect<void> {
    return this.#restoreRecords().pipe(
      Effect.andThen(Effect.scoped(this.#controller.run())),
      Effect.raceFirst(this.#publishUntilStepDown()),
      Effect.raceFirst(this.#awaitEndOfTerm()),
      Effect.raceFirst(Effect.andThen(this.#tellPredecessor(), Effect.never)),
      Effect.raceFirst(this.#boards.checkLosses()),
      Effect.raceFirst(
        this.#boards.recordQuarantine(
          this.#options.quarantined,
          (key, value) => this.#recorder.put(key, value),
        ),
      ),
    );
  }

  /** Stops leading, as another process leads, and logs how that is known. */
  yieldToSuccessor(message: string): void {
    this.#hasSuccessor = true;
    this.stepDown(message);
  }

  /** Stops leading and logs the reason. */
  stepDown(message: string): void {
    if (this.#hasSteppedDown) return;
    this.#hasSteppedDown = true;
    this.#options.record("lead.lost", {
      term: this.#options.leader.term,
      message,
    });
  }

  /** Stops leading without a log entry, as the process is shutting down. */
  resign(): void {
    this.#hasSteppedDown = true;
  }

  /**
   * Heads that must get no requests because their replicas are being dissolved.
   */
  listClosedHeads(): readonly string[] {
    return this.#controller.listClosedHeads();
  }

  /** Heads of serving replicas with a silent member. */
  listSilentHeads(): readonly string[] {
    return this.#controller.listSilentHeads();
  }

  /** Stores what the store has lost of the last term of this process. */
  #restoreRecords(): Effect.Effect<void> {
    const { remembered, stored, record } = this.#options;
    return remembered === undefined ? Effect.void : restoreRecords({
      replicas: remembered,
      stored,
      recorder: this.#recorder,
      record,
    });
  }

  /** Tells the leader that this process replaced, which may not know it. */
  #tellPredecessor(): Effect.Effect<void> {
    const { instances, config } = this.#options;
    const predecessor = this.#predecessor;
    if (predecessor === undefined) return Effect.void;
    if (predecessor.nodeId === this.#options.self.nodeId) return Effect.void;
    return tellPredecessor({
      ...this.#options,
      predecessor,
      topics: {
        instancesOffset: instances.copy.nextOffset,
        configOffset: config.copy.nextOffset,
      },
    });
  }

  /** Steps down once the records show that this term is over. */
  #awaitEndOfTerm(): Effect.Effect<void> {
    return Effect.map(this.#successorWatch.awaitEndOfTerm(), (check) => {
      if (check.kind === "superseded-era") this.#endEra();
      else {
        const { nodeId, term } = check.leader;
        this.yieldToSuccessor(`${nodeId} leads since term ${term}`);
      }
    });
  }

  /** Steps down if any topic shows that the store's era is over. */
  #checkEra(): void {
    const { leader, config, instances } = this.#options;
    const newest = Math.max(config.copy.nextOffset, instances.copy.nextOffset);
    if (eraOf(newest) > eraOf(leader.term)) this.#endEra();
  }

  /** Steps down if this process reaches no replicas, but another one does. */
  #checkLinks(): void {
    const { summarize, table, nowMs, hasLostReplicas } = this.#options;
    const atMs = nowMs();
    const isDue = this.#handover.isDue({
      hasLostReplicas: hasLostReplicas(),
      lostLinks: () => summarize().lostLinks ?? [],
      reporters: () => table.listReporters(atMs),
      nowMs: atMs,
    });
    if (isDue) {
      this.stepDown("This process has lost its links to the instances");
    }
  }

  #endEra(): void {
    this.stepDown(
      "The store came back from an older copy, which may lack the records of this term",
    );
  }

  /**
   * Publishes the leader's status periodically and announces updates at once.
   */
  #publishUntilStepDown(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (!this.#hasSteppedDown) {
        this.#checkEra();
        this.#checkLinks();
        if (this.#hasSteppedDown) return;
        this.reportHeads(this.#options.summarizeOwn());
        if (this.#publish()) this.#options.onUpdate();
        yield* Effect.sleep(PUBLISH_INTERVAL_MS);
      }
    });
  }

  #publish(): boolean {
    const nowMs = this.#options.nowMs();
    const { self, storeAnsweredAtMs, listLeaving } = this.#options;
    const summary = this.#options.summarize();
    const { processes: count, repeats, demand, tenantDemand } = summary;
    const processes = this.#isTakingOver(nowMs)
      ? this.#options.status.processes
      : count;
    return this.#options.status.publish({
      processes,
      areTotalsComplete: this.#areTotalsComplete(nowMs),
      retryTotals: this.#inheritedRetries.complete(repeats, nowMs),
      demand: { byModel: demand, byTenant: tenantDemand },
      expectedMs: this.#controller.expectedMs(nowMs),
      relays: selectRelays({
        leaderId: self.nodeId,
        processes,
        candidates: this.#listCandidates(nowMs),
        previous: this.#options.status.relays,
      }),
      updates: {
        closedHeads: this.#controller.listClosedHeads(),
        silentHeads: this.#controller.listSilentHeads(),
        leaving: listLeaving(),
        ...this.#boards.update(summary, processes),
        ...describeGateways({
          nodes: [self, ...this.#listCandidates(nowMs)],
          lostLinks: summary.lostLinks ?? [],
          // They hold until all followers may have reported.
          previous: this.#isTakingOver(nowMs)
            ? this.#options.status.gateways
            : [],
        }),
      },
      // The store accepted this leader's record, which counts as a response.
      storeAnsweredAtMs: Math.max(storeAnsweredAtMs(), this.#sinceMs),
    }, nowMs);
  }

  /** Whether the totals cover all processes, as far as this leader knows. */
  #areTotalsComplete(nowMs: number): boolean {
    return this.#hasInherited || nowMs - this.#sinceMs >= TAKEOVER_GRACE_MS;
  }

  /** Whether followers of the previous leader may not all report here yet. */
  #isTakingOver(nowMs: number): boolean {
    return this.#options.status.processes > 1 &&
      nowMs - this.#sinceMs < TAKEOVER_GRACE_MS;
  }

  /**
   * Processes that may be relays. A current relay qualifies only while it
   * reports here itself.
   */
  #listCandidates(nowMs: number): readonly PeerNode[] {
    if (this.#isTakingOver(nowMs)) {
      const predecessorId = this.#predecessor?.nodeId;
      return this.#options.status.relays.filter(({ nodeId }) =>
        nodeId !== predecessorId
      );
    }
    const reporters = this.#options.table.listReporters(nowMs);
    const present = new Set(reporters.map(({ nodeId }) => nodeId));
    const relayIds = new Set(
      this.#options.status.relays.map(({ nodeId }) => nodeId),
    );
    const named = this.#options.table.listCandidates(nowMs).filter((
      { nodeId },
    ) => present.has(nodeId) || !relayIds.has(nodeId));
    return [...reporters, ...named];
  }

  /** Passes stalled and slow heads on to the replica controller. */
  reportHeads(
    { stalledHeads, slowHeads }: Pick<
      PeerSummary,
      "stalledHeads" | "slowHeads"
    >,
  ): void {
    for (const id of stalledHeads) this.#controller.reportStalledHead(id);
    for (const id of slowHeads) this.#controller.reportSlowHead(id);
  }
}
