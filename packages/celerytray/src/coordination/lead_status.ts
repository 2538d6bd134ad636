import type { LeaderRecord } from "../groups/index.ts";
import type { WindowTotals } from "../serving/index.ts";
import { maxStatusAgeMs, type StatusPath } from "./intervals.ts";
import type {
  DemandTotals,
  InstanceUpdates,
  KnownStatus,
  LeadAnswer,
  PeerNode,
  Versioned,
} from "./peer_messages.ts";

/** What the lead says itself. */
export interface OwnStatus {
  readonly processes: number;
  readonly repeats: Readonly<Record<string, WindowTotals>>;
  readonly demand: DemandTotals;
  readonly expectedMs: Readonly<Record<string, number>>;
  readonly relays: readonly PeerNode[];
  readonly updates: InstanceUpdates;
  readonly storeAnsweredAtMs: number;
}

/** The part of an answer that is the lead's status. */
export type StatusPart = Omit<
  LeadAnswer,
  "isLeading" | "heldMs" | "config" | "instances"
>;

/** The lead's newest status, as this process says it or was told. */
export class LeadStatus {
  #lead: LeaderRecord | undefined;
  /** Time from which on this process counts on the lead. */
  #sinceMs = 0;
  /** Time at which the lead said it; undefined before it said anything. */
  #publishedAtMs: number | undefined;
  #storeAnsweredAtMs = Number.NEGATIVE_INFINITY;
  #steps: StatusPath = "direct";
  #processes = 1;
  #repeats: Readonly<Record<string, WindowTotals>> = {};
  #demand: DemandTotals = { byModel: {}, byTenant: {} };
  #expectedMs: Readonly<Record<string, number>> = {};
  #relays: Versioned<readonly PeerNode[]> = { version: "", value: [] };
  #updates: Versioned<InstanceUpdates> = {
    version: "",
    value: { closedHeads: [], leaving: [] },
  };
  #changes = 0;

  get lead(): LeaderRecord | undefined {
    return this.#lead;
  }

  get term(): number {
    return this.#lead?.term ?? 0;
  }

  get steps(): StatusPath {
    return this.#steps;
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

  get repeats(): Readonly<Record<string, WindowTotals>> {
    return this.#repeats;
  }

  get demand(): DemandTotals {
    return this.#demand;
  }

  /** Time until a replica of a model is expected; undefined if not told. */
  expectedMs(model: string, nowMs: number): number | undefined {
    const toldMs = this.#expectedMs[model];
    return toldMs === undefined
      ? undefined
      : Math.max(0, toldMs - this.silentMs(nowMs));
  }

  /** Time since the lead said it, or since this process counts on the lead. */
  silentMs(nowMs: number): number {
    return nowMs - (this.#publishedAtMs ?? this.#sinceMs);
  }

  /** Time since the store answered the lead, as far as that is known. */
  storeAgeMs(nowMs: number): number {
    return nowMs - this.#storeAnsweredAtMs;
  }

  isFresh(nowMs: number): boolean {
    return this.#publishedAtMs !== undefined &&
      this.silentMs(nowMs) < maxStatusAgeMs(this.#steps);
  }

  /** Follows a lead from now on, or is it. */
  setLead(lead: LeaderRecord, nowMs: number): void {
    this.#lead = lead;
    this.#sinceMs = nowMs;
    this.#publishedAtMs = undefined;
    this.#storeAnsweredAtMs = nowMs;
  }

  /** Takes what the lead, which is this process, says; true if updates is in it. */
  publish(own: OwnStatus, nowMs: number): boolean {
    this.#publishedAtMs = nowMs;
    this.#steps = "direct";
    this.#storeAnsweredAtMs = own.storeAnsweredAtMs;
    this.#processes = own.processes;
    this.#repeats = own.repeats;
    this.#demand = own.demand;
    this.#expectedMs = own.expectedMs;
    const changes = this.#changes;
    this.#relays = this.#renew(this.#relays, own.relays);
    this.#updates = this.#renew(this.#updates, own.updates);
    return this.#changes !== changes;
  }

  /**
   * Takes what another process told of the lead, at some time or later; true
   * if there is something new for others in it.
   */
  adopt(
    answer: LeadAnswer,
    { publishedAtMs: toldAtMs, steps }: {
      readonly publishedAtMs: number;
      readonly steps: StatusPath;
    },
  ): boolean {
    if (answer.statusAgeMs === null || answer.term < this.term) return false;
    const publishedAtMs = toldAtMs - answer.statusAgeMs;
    const isNewLead = answer.lead !== undefined && answer.term > this.term;
    if (isNewLead) this.#lead = answer.lead;
    if (answer.term !== this.term) return false;
    if (!isNewLead && publishedAtMs < (this.#publishedAtMs ?? publishedAtMs)) {
      return false;
    }
    this.#publishedAtMs = publishedAtMs;
    this.#steps = steps;
    this.#storeAnsweredAtMs = toldAtMs -
      (answer.storeAgeMs ?? Number.POSITIVE_INFINITY);
    this.#processes = answer.processes;
    this.#repeats = answer.repeats;
    this.#demand = answer.demand;
    this.#expectedMs = answer.expectedMs;
    this.#relays = answer.relays ?? this.#relays;
    this.#updates = answer.updates ?? this.#updates;
    return isNewLead || answer.relays !== undefined ||
      answer.updates !== undefined;
  }

  /** What a process knows of it. */
  get known(): Omit<KnownStatus, "instancesOffset" | "configOffset"> {
    return {
      term: this.term,
      relaysVersion: this.#relays.version,
      updatesVersion: this.#updates.version,
    };
  }

  /** Whether a process that knows as much should be told at once. */
  hasUpdates(known: KnownStatus): boolean {
    if (this.#publishedAtMs === undefined) return false;
    return known.term < this.term ||
      known.relaysVersion !== this.#relays.version ||
      known.updatesVersion !== this.#updates.version;
  }

  /** What to tell a process that knows as much. */
  describe(known: KnownStatus, nowMs: number): StatusPart {
    const isPublished = this.#publishedAtMs !== undefined;
    return {
      term: this.term,
      ...(this.#lead === undefined || known.term === this.term
        ? {}
        : { lead: this.#lead }),
      statusAgeMs: isPublished ? this.silentMs(nowMs) : null,
      storeAgeMs: isPublished ? this.storeAgeMs(nowMs) : null,
      processes: this.#processes,
      repeats: this.#repeats,
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

  #renew<Value>(
    versioned: Versioned<Value>,
    value: Value,
  ): Versioned<Value> {
    const isSame = versioned.version.startsWith(`${this.term}-`) &&
      JSON.stringify(versioned.value) === JSON.stringify(value);
    if (isSame) return versioned;
    this.#changes += 1;
    return { version: `${this.term}-${this.#changes}`, value };
  }
}
