import type {
  Gateway,
  SharedLimit,
  SuspectPart,
  WindowTotals,
} from "../serving/index.ts";
import type { LeadingProcess } from "./leading_process.ts";
import { maxStatusAgeMs, type StatusPath } from "./intervals.ts";
import type {
  DemandTotals,
  InstanceUpdates,
  KnownStatus,
  PeerNode,
  ReportReply,
  Versioned,
} from "./peer_messages.ts";

/** The status that the leader publishes. */
export interface PublishedStatus {
  readonly processes: number;
  readonly areTotalsComplete: boolean;
  readonly retryTotals: Readonly<Record<string, WindowTotals>>;
  readonly demand: DemandTotals;
  readonly expectedMs: Readonly<Record<string, number>>;
  readonly relays: readonly PeerNode[];
  readonly updates: InstanceUpdates;
  readonly storeAnsweredAtMs: number;
}

/** The fields of a reply that make up the leader's status. */
export type StatusFields = Omit<
  ReportReply,
  "isLeading" | "heldMs" | "config" | "instances"
>;

/** The leader's newest status, as this process published or received it. */
export class LeaderStatus {
  #leader: LeadingProcess | undefined;
  /** Time at which this process began to follow the leader or to lead. */
  #sinceMs = 0;
  /**
   * Time at which the leader published the status; undefined before the first.
   */
  #publishedAtMs: number | undefined;
  #storeAnsweredAtMs = Number.NEGATIVE_INFINITY;
  #statusPath: StatusPath = "direct";
  #processes = 1;
  #retryTotals: Readonly<Record<string, WindowTotals>> = {};
  #demand: DemandTotals = { byModel: {}, byTenant: {} };
  #expectedMs: Readonly<Record<string, number>> = {};
  #relays: Versioned<readonly PeerNode[]> = { version: "", value: [] };
  #updates: Versioned<InstanceUpdates> = {
    version: "",
    value: { closedHeads: [], leaving: [] },
  };
  #areTotalsComplete = false;
  #versionCount = 0;

  get leader(): LeadingProcess | undefined {
    return this.#leader;
  }

  get term(): number {
    return this.#leader?.term ?? 0;
  }

  get statusPath(): StatusPath {
    return this.#statusPath;
  }

  get processes(): number {
    return this.#processes;
  }

  get relays(): readonly PeerNode[] {
    return this.#relays.value;
  }

  get closedHeads(): readonly string[] {
    return this.#updates.value.closedHeads;
  }

  get silentHeads(): readonly string[] {
    return this.#updates.value.silentHeads ?? [];
  }

  /** Processes that serve requests of those whose links are lost. */
  get gateways(): readonly Gateway[] {
    return this.#updates.value.gateways ?? [];
  }

  /** Parts of prompts that crash instances. */
  get quarantine(): readonly SuspectPart[] {
    return this.#updates.value.quarantine ?? [];
  }

  /**
   * Instances with a limit on requests; undefined if the leader's version does
   * not know of limits.
   */
  get limits(): readonly SharedLimit[] | undefined {
    return this.#updates.value.limits;
  }

  /** Whether the totals and the number of processes cover all of them. */
  get areTotalsComplete(): boolean {
    return this.#areTotalsComplete;
  }

  get retryTotals(): Readonly<Record<string, WindowTotals>> {
    return this.#retryTotals;
  }

  get demand(): DemandTotals {
    return this.#demand;
  }

  /**
   * Time until a replica of a model is expected; undefined if the leader gave
   * no estimate.
   */
  expectedMs(model: string, nowMs: number): number | undefined {
    const reportedMs = this.#expectedMs[model];
    return reportedMs === undefined
      ? undefined
      : Math.max(0, reportedMs - this.statusAgeMs(nowMs));
  }

  /**
   * Time since the status was published, or since this process began to follow
   * the leader if no status was received.
   */
  statusAgeMs(nowMs: number): number {
    return nowMs - (this.#publishedAtMs ?? this.#sinceMs);
  }

  /** Time since the store responded to the leader, as far as is known. */
  storeAgeMs(nowMs: number): number {
    return nowMs - this.#storeAnsweredAtMs;
  }

  isFresh(nowMs: number): boolean {
    return this.#publishedAtMs !== undefined &&
      this.statusAgeMs(nowMs) < maxStatusAgeMs(this.#statusPath);
  }

  /** Starts a new status when this process follows a leader or becomes it. */
  setLeader(leader: LeadingProcess, nowMs: number): void {
    this.#leader = leader;
    this.#sinceMs = nowMs;
    this.#publishedAtMs = undefined;
    this.#storeAnsweredAtMs = nowMs;
  }

  /**
   * Publishes the status of this process as leader; true if the relays or
   * instance updates changed.
   */
  publish(own: PublishedStatus, nowMs: number): boolean {
    this.#publishedAtMs = nowMs;
    this.#statusPath = "direct";
    this.#storeAnsweredAtMs = own.storeAnsweredAtMs;
    this.#processes = own.processes;
    this.#retryTotals = own.retryTotals;
    this.#areTotalsComplete = own.areTotalsComplete;
    this.#demand = own.demand;
    this.#expectedMs = own.expectedMs;
    const countBefore = this.#versionCount;
    this.#relays = this.#updateVersion(this.#relays, own.relays);
    this.#updates = this.#updateVersion(this.#updates, own.updates);
    return this.#versionCount !== countBefore;
  }

  /**
   * Adopts a status from another process's reply, given at `publishedAtMs`
   * or later; true if it has something new to pass on.
   */
  adopt(
    reply: ReportReply,
    { publishedAtMs: answeredAtMs, statusPath }: {
      readonly publishedAtMs: number;
      readonly statusPath: StatusPath;
    },
  ): boolean {
    if (reply.statusAgeMs === null || reply.term < this.term) return false;
    const publishedAtMs = answeredAtMs - reply.statusAgeMs;
    const isNewLeader = reply.lead !== undefined && reply.term > this.term;
    if (isNewLeader) this.#leader = reply.lead;
    if (reply.term !== this.term) return false;
    if (
      !isNewLeader && publishedAtMs < (this.#publishedAtMs ?? publishedAtMs)
    ) {
      return false;
    }
    this.#publishedAtMs = publishedAtMs;
    this.#statusPath = statusPath;
    this.#storeAnsweredAtMs = answeredAtMs -
      (reply.storeAgeMs ?? Number.POSITIVE_INFINITY);
    this.#processes = reply.processes;
    this.#retryTotals = reply.repeats;
    this.#areTotalsComplete = reply.areTotalsComplete !== false;
    this.#demand = reply.demand;
    this.#expectedMs = reply.expectedMs;
    this.#relays = reply.relays ?? this.#relays;
    this.#updates = reply.updates ?? this.#updates;
    return isNewLeader || reply.relays !== undefined ||
      reply.updates !== undefined;
  }

  /** The versions that this process knows. */
  get known(): Omit<KnownStatus, "instancesOffset" | "configOffset"> {
    return {
      term: this.term,
      relaysVersion: this.#relays.version,
      updatesVersion: this.#updates.version,
    };
  }

  /** Whether a process that knows these versions must be updated at once. */
  hasUpdates(known: KnownStatus): boolean {
    if (this.#publishedAtMs === undefined) return false;
    return known.term < this.term ||
      known.relaysVersion !== this.#relays.version ||
      known.updatesVersion !== this.#updates.version;
  }

  /** Returns the status without the parts that a process already knows. */
  describe(known: KnownStatus, nowMs: number): StatusFields {
    const isPublished = this.#publishedAtMs !== undefined;
    return {
      term: this.term,
      ...(this.#leader === undefined || known.term === this.term
        ? {}
        : { lead: this.#leader }),
      statusAgeMs: isPublished ? this.statusAgeMs(nowMs) : null,
      storeAgeMs: isPublished ? this.storeAgeMs(nowMs) : null,
      processes: this.#processes,
      repeats: this.#retryTotals,
      areTotalsComplete: this.#areTotalsComplete,
      demand: this.#demand,
      expectedMs: this.#expectedMs,
      ...(known.relaysVersion === this.#relays.version
        ? {}
        : { relays: this.#relays }),
      ...(known.updatesVersion === this.#updates.version
        ? {}
        : { updates: this.#updates }),
    };
  }

  #updateVersion<Value>(
    versioned: Versioned<Value>,
    value: Value,
  ): Versioned<Value> {
    const isSame = versioned.version.startsWith(`${this.term}-`) &&
      JSON.stringify(versioned.value) === JSON.stringify(value);
    if (isSame) return versioned;
    this.#versionCount += 1;
    return { version: `${this.term}-${this.#versionCount}`, value };
  }
}
