import { Effect } from "effect";
import type {
  LeaderRecord,
  ReplicaController,
  ReplicaRecord,
} from "../groups/index.ts";
import type { CoordinatorOptions } from "./coordinator_options.ts";
import { INHERIT_MS, PUBLISH_STEP_MS } from "./intervals.ts";
import { type LeadLook, LeadRecorder } from "./lead_log.ts";
import type { LeadStatus } from "./lead_status.ts";
import { LeadWatch } from "./lead_watch.ts";
import type { PeerNode, PeerSummary } from "./peer_messages.ts";
import type { ReportTable } from "./report_table.ts";
import { selectRelays } from "./select_relays.ts";

/** What deciding on replicas for one term works with. */
export interface LeadTermOptions extends
  Pick<
    CoordinatorOptions,
    | "self"
    | "log"
    | "createDirector"
    | "record"
    | "storeAnsweredAtMs"
    | "listLeaving"
  > {
  readonly lead: LeaderRecord;
  readonly replicas: readonly ReplicaRecord[];
  readonly status: LeadStatus;
  readonly table: ReportTable;
  /** What this process and those that report to it tell. */
  readonly summarize: () => PeerSummary;
  /** What this process tells alone. */
  readonly summarizeOwn: () => PeerSummary;
  /** Waits until the records name another lead than that of a term. */
  readonly awaitOtherLead: (
    term: number,
    waitMs: number,
  ) => Effect.Effect<LeadLook>;
  /** Told when the status has updates. */
  readonly onUpdate: () => void;
  readonly nowMs: () => number;
}

/** The time for which this process decides on replicas. */
export class LeadTerm {
  readonly #options: LeadTermOptions;
  readonly #director: ReplicaController;
  readonly #watch: LeadWatch;
  readonly #sinceMs: number;
  /** Lead whose place this process took. */
  readonly #replacedId: string | undefined;
  #isDeposed = false;

  constructor(options: LeadTermOptions) {
    this.#options = options;
    const { lead, log, replicas, status, table, nowMs } = options;
    const { term } = lead;
    this.#sinceMs = nowMs();
    this.#replacedId = status.lead?.nodeId;
    status.setLead(lead, this.#sinceMs);
    options.record("lead.taken", { term, replicas: replicas.length });
    const recorder = new LeadRecorder({
      log,
      term,
      onDeposed: (message) => this.depose(message),
    });
    this.#watch = new LeadWatch({
      awaitOtherLead: (waitMs) => options.awaitOtherLead(term, waitMs),
      reportedAtMs: () => table.newestAtMs,
      nowMs,
    });
    this.#director = options.createDirector({
      term,
      replicas,
      recorder,
      onOutdated: () => this.#watch.noteOutdated(),
    });
  }

  /** Whether another process has taken the lead, or is to. */
  get isDeposed(): boolean {
    return this.#isDeposed;
  }

  /** Decides until another process does. */
  run(): Effect.Effect<void> {
    return Effect.scoped(this.#director.run()).pipe(
      Effect.raceFirst(this.#publishUntilDeposed()),
      Effect.raceFirst(this.#awaitReplaced()),
    );
  }

  /** Leaves the lead, with a line that tells why. */
  depose(message: string): void {
    if (this.#isDeposed) return;
    this.#isDeposed = true;
    this.#options.record("lead.lost", {
      term: this.#options.lead.term,
      message,
    });
  }

  /** Leaves the lead as the process stops. */
  leave(): void {
    this.#isDeposed = true;
  }

  /** Heads to which no requests should go, as replicas are taken apart. */
  listClosedHeads(): readonly string[] {
    return this.#director.listClosedHeads();
  }

  /** Ends once the records name a later lead. */
  #awaitReplaced(): Effect.Effect<void> {
    return Effect.map(
      this.#watch.awaitReplaced(),
      ({ nodeId, term }) => this.depose(`${nodeId} has taken term ${term}`),
    );
  }

  /** Publishes the lead's status, at once where it has updates. */
  #publishUntilDeposed(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (!this.#isDeposed) {
        this.noteHeads(this.#options.summarizeOwn());
        if (this.#publish()) this.#options.onUpdate();
        yield* Effect.sleep(PUBLISH_STEP_MS);
      }
    });
  }

  #publish(): boolean {
    const nowMs = this.#options.nowMs();
    const { self, storeAnsweredAtMs, listLeaving } = this.#options;
    const { processes: heard, repeats, demand, tenantDemand } = this.#options
      .summarize();
    const processes = this.#isNewLead(nowMs)
      ? this.#options.status.processes
      : heard;
    return this.#options.status.publish({
      processes,
      repeats,
      demand: { byModel: demand, byTenant: tenantDemand },
      expectedMs: this.#director.expectedMs(nowMs),
      relays: selectRelays({
        leadId: self.nodeId,
        processes,
        candidates: this.#listCandidates(nowMs),
        previous: this.#options.status.relays,
      }),
      updates: {
        closedHeads: this.#director.listClosedHeads(),
        leaving: listLeaving(),
      },
      // The store took the record by which this process leads.
      storeAnsweredAtMs: Math.max(storeAnsweredAtMs(), this.#sinceMs),
    }, nowMs);
  }

  /** Whether those that followed the lead before may not all report here yet. */
  #isNewLead(nowMs: number): boolean {
    return this.#options.status.processes > 1 &&
      nowMs - this.#sinceMs < INHERIT_MS;
  }

  /** Processes that may be relays; those that are report here themselves. */
  #listCandidates(nowMs: number): readonly PeerNode[] {
    if (this.#isNewLead(nowMs)) {
      const replacedId = this.#replacedId;
      return this.#options.status.relays.filter(({ nodeId }) =>
        nodeId !== replacedId
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

  /** Takes note of heads that processes found to stand still or to be slow. */
  noteHeads(
    { stalledHeads, slowHeads }: Pick<
      PeerSummary,
      "stalledHeads" | "slowHeads"
    >,
  ): void {
    for (const headId of stalledHeads) this.#director.reportStalledHead(headId);
    for (const headId of slowHeads) this.#director.reportSlowHead(headId);
  }
}
