import type { LeaderRecord, LeavingIncarnation } from "../groups/index.ts";
import type { RelayedChange } from "../keyed_log/index.ts";
import type { WindowTotals } from "../serving/index.ts";

/** A process of this system, and what its machine can bear. */
export interface PeerNode {
  readonly nodeId: string;
  /** IP:PORT for other processes. */
  readonly peerAddress: string;
  readonly zone: string;
  /** Processor time that it may use, in cores. */
  readonly cores: number;
}

/** Something with a version, which whoever knows it isn't told again. */
export interface Versioned<Value> {
  readonly version: string;
  readonly value: Value;
}

/** Instances to which no requests should go, whatever the list says. */
export interface InstanceUpdates {
  /** Heads of replicas that are taken apart. */
  readonly closedHeads: readonly string[];
  /** Instances that said that they leave, though the list has them as ready. */
  readonly leaving: readonly LeavingIncarnation[];
}

/** What processes tell of requests and instances, summed up on the way. */
export interface PeerSummary {
  /** Processes that it speaks of. */
  readonly processes: number;
  /** The most able of them. */
  readonly candidates: readonly PeerNode[];
  /** Heads at which requests stand still. */
  readonly stalledHeads: readonly string[];
  /** Heads of replicas that are found slow. */
  readonly slowHeads: readonly string[];
  /** Instances that said that they leave, though the list has them as ready. */
  readonly leaving: readonly LeavingIncarnation[];
  /** Requests in progress, by model. */
  readonly demand: Readonly<Record<string, number>>;
  /** Requests in progress or waiting, by organisation; the largest only. */
  readonly tenantDemand: Readonly<Record<string, number>>;
  /** Requests and repeats of the window, by service. */
  readonly repeats: Readonly<Record<string, WindowTotals>>;
  /** Whether any of them has had requests. */
  readonly hasTraffic: boolean;
}

/** What a process already knows, which the answer leaves out. */
export interface KnownStatus {
  /** Term of the newest lead; 0 before one is known. */
  readonly term: number;
  readonly relaysVersion: string;
  readonly updatesVersion: string;
  /** Offset up to which it knows the list of instances. */
  readonly instancesOffset: number;
  /** Offset up to which it knows the configuration. */
  readonly configOffset: number;
}

/** What a process tells the lead or a relay. */
export interface PeerReport {
  readonly reporter: PeerNode;
  readonly summary: PeerSummary;
  readonly known: KnownStatus;
  /** Longest time for which the answer may wait for something new. */
  readonly holdMs: number;
}

/** The lead's status, from itself or by way of a relay. */
export interface LeadAnswer {
  /** Whether the answering process decides on replicas. */
  readonly isLeading: boolean;
  readonly term: number;
  /** The lead, where the receiver knows another or none. */
  readonly lead?: LeaderRecord;
  /** Time for which the report was kept before this answer was given. */
  readonly heldMs: number;
  /** Age of the lead's status; null where none was heard. */
  readonly statusAgeMs: number | null;
  /** Time since the store last answered the lead; null where none was heard. */
  readonly storeAgeMs: number | null;
  /** Processes that the lead hears of. */
  readonly processes: number;
  /** Requests and repeats of all processes, by service. */
  readonly repeats: Readonly<Record<string, WindowTotals>>;
  /** Requests of all processes in progress or waiting. */
  readonly demand: DemandTotals;
  /** Time until a replica is expected, by model that has none. */
  readonly expectedMs: Readonly<Record<string, number>>;
  /** Processes that pass the lead's status on, the most able first. */
  readonly relays?: Versioned<readonly PeerNode[]>;
  readonly updates?: Versioned<InstanceUpdates>;
  /** How far the answering process knows the configuration, with what is new. */
  readonly config: RelayedChange & KnownEnd;
  /** How far it knows the list of instances, with what is new in it. */
  readonly instances: RelayedChange & KnownEnd;
}

/** Requests of all processes that are in progress or waiting. */
export interface DemandTotals {
  readonly byModel: Readonly<Record<string, number>>;
  /** By organisation; the largest only. */
  readonly byTenant: Readonly<Record<string, number>>;
}

/** Where a topic ends, as far as a process knows. */
export interface KnownEnd {
  readonly nextOffset: number;
  /** Time since that was surely its end; null where it isn't known. */
  readonly proofAgeMs: number | null;
}

/** Reads a report of another process; throws where it is malformed. */
export function parseReport(input: unknown): PeerReport {
  const report = input as Partial<PeerReport> | null | undefined;
  const isValid = isNode(report?.reporter) && isSummary(report?.summary) &&
    isKnown(report?.known) && Number.isFinite(report?.holdMs);
  if (isValid) return report as PeerReport;
  throw new Error("Malformed report; run one version on all machines");
}

function isNode(input: PeerNode | undefined): boolean {
  return typeof input === "object" && input !== null &&
    typeof input.nodeId === "string" &&
    typeof input.peerAddress === "string" &&
    typeof input.zone === "string" && Number.isFinite(input.cores);
}

function isSummary(input: PeerSummary | undefined): boolean {
  return typeof input === "object" && input !== null &&
    Number.isSafeInteger(input.processes) &&
    Array.isArray(input.candidates) && input.candidates.every(isNode) &&
    isTexts(input.stalledHeads) && isTexts(input.slowHeads) &&
    Array.isArray(input.leaving) &&
    isRecord(input.demand) && isRecord(input.tenantDemand) &&
    isRecord(input.repeats) &&
    typeof input.hasTraffic === "boolean";
}

function isKnown(input: KnownStatus | undefined): boolean {
  return typeof input === "object" && input !== null &&
    Number.isSafeInteger(input.term) &&
    typeof input.relaysVersion === "string" &&
    typeof input.updatesVersion === "string" &&
    Number.isSafeInteger(input.instancesOffset) &&
    Number.isSafeInteger(input.configOffset);
}

function isTexts(input: unknown): boolean {
  return Array.isArray(input) &&
    input.every((text) => typeof text === "string");
}

function isRecord(input: unknown): boolean {
  return typeof input === "object" && input !== null && !Array.isArray(input);
}
