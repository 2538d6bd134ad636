import type { LeavingIncarnation } from "../groups/index.ts";
import type { RelayedChange, ToldEraStart } from "../keyed_log/index.ts";
import {
  type Gateway,
  type LimitReport,
  parseLimitReport,
  parseQuarantineReport,
  type QuarantineReport,
  type SharedLimit,
  type SuspectPart,
  type WindowTotals,
} from "../serving/index.ts";
import type { LeadingProcess } from "./leading_process.ts";
import type { ToldConfig } from "./config_in_force.ts";

/** A process of the deployment and the capacity of its machine. */
export interface PeerNode {
  readonly nodeId: string;
  /** IP:PORT for other processes. */
  readonly peerAddress: string;
  readonly zone: string;
  /** CPU time that the process may use, in cores. */
  readonly cores: number;
  /** Whether it serves requests of others; absent from earlier versions. */
  readonly servesOthers?: boolean;
}

/**
 * A versioned value, which is not resent to a process that knows the version.
 */
export interface Versioned<Value> {
  readonly version: string;
  readonly value: Value;
}

/** Instances that must get no requests, whatever the instance list says. */
export interface InstanceUpdates {
  /** Heads of replicas that are being dissolved. */
  readonly closedHeads: readonly string[];
  /**
   * Heads of replicas with a silent member, which get requests only where no
   * other head can; absent from earlier versions.
   */
  readonly silentHeads?: readonly string[];
  /**
   * Instances that announced that they are leaving but are still listed as
   * ready.
   */
  readonly leaving: readonly LeavingIncarnation[];
  /** Parts of prompts that crash instances; absent from earlier versions. */
  readonly quarantine?: readonly SuspectPart[];
  /** Instances with a limit on requests; absent from earlier versions. */
  readonly limits?: readonly SharedLimit[];
  /**
   * Processes that may serve requests of those whose links to back ends are
   * lost; absent while none has lost them, and from earlier versions.
   */
  readonly gateways?: readonly Gateway[];
}

/** Aggregated state of the requests and instances of one or more processes. */
export interface PeerSummary {
  /** Number of processes that the summary covers. */
  readonly processes: number;
  /** Those with the most cores. */
  readonly candidates: readonly PeerNode[];
  /** Heads at which requests are stalled. */
  readonly stalledHeads: readonly string[];
  /** Heads of replicas that are measured as slow. */
  readonly slowHeads: readonly string[];
  /**
   * Instances that announced that they are leaving but are still listed as
   * ready.
   */
  readonly leaving: readonly LeavingIncarnation[];
  /** Requests in progress, by model. */
  readonly demand: Readonly<Record<string, number>>;
  /**
   * Requests in progress or waiting, by organisation; only the largest counts.
   */
  readonly tenantDemand: Readonly<Record<string, number>>;
  /** Requests and retries within the retry window, by service. */
  readonly repeats: Readonly<Record<string, WindowTotals>>;
  /** Whether any of these processes has had requests. */
  readonly hasTraffic: boolean;
  /** Parts of prompts that crash instances; absent from earlier versions. */
  readonly quarantine?: QuarantineReport;
  /** Limits on the requests of instances; absent from earlier versions. */
  readonly limits?: LimitReport;
  /** Processes that lost their links; absent where there are none. */
  readonly lostLinks?: readonly LostLinks[];
}

/** A process that reaches no instance of some services. */
export interface LostLinks {
  readonly nodeId: string;
  readonly services: readonly string[];
}

/** What a process already knows, which the reply omits. */
export interface KnownStatus {
  /** Term of the newest known leader; 0 before one is known. */
  readonly term: number;
  readonly relaysVersion: string;
  readonly updatesVersion: string;
  /** Offset up to which it knows the instance list. */
  readonly instancesOffset: number;
  /** Offset up to which it knows the configuration. */
  readonly configOffset: number;
}

/** Report of a process to the leader or a relay. */
export interface PeerReport extends ToldConfig {
  readonly reporter: PeerNode;
  /** Distinguishes the starts of a process; absent from earlier versions. */
  readonly bootId?: string;
  readonly summary: PeerSummary;
  readonly known: KnownStatus;
  /** Longest time for which the reply may be held until there is news. */
  readonly holdMs: number;
}

/** The leader's status, from the leader itself or a relay. */
export interface ReportReply extends ToldConfig {
  /** Whether the replying process leads. */
  readonly isLeading: boolean;
  readonly term: number;
  /** The leader, if the reporter knows another one or none. */
  readonly lead?: LeadingProcess;
  /** Time for which the report was held before the reply. */
  readonly heldMs: number;
  /** Age of the leader's status; null if none was received. */
  readonly statusAgeMs: number | null;
  /**
   * Time since the store last responded to the leader; null if no status was
   * received.
   */
  readonly storeAgeMs: number | null;
  /**
   * Number of processes that report to the leader, directly or through relays.
   */
  readonly processes: number;
  /** Requests and retries of all processes, by service. */
  readonly repeats: Readonly<Record<string, WindowTotals>>;
  /**
   * Whether `processes` and `repeats` cover all processes, which a leader without
   * a predecessor's status does not know at first; absent from earlier versions.
   */
  readonly areTotalsComplete?: boolean;
  /** Requests of all processes in progress or waiting. */
  readonly demand: DemandTotals;
  /** Expected time until a replica is available, for each model without one. */
  readonly expectedMs: Readonly<Record<string, number>>;
  /** Processes that relay the leader's status, in order of decreasing cores. */
  readonly relays?: Versioned<readonly PeerNode[]>;
  readonly updates?: Versioned<InstanceUpdates>;
  /**
   * How far the replying process knows the configuration, and the changes
   * since the reporter's offset.
   */
  readonly config: RelayedChange & KnownTopicEnd;
  /**
   * How far it knows the instance list, and the changes since the reporter's
   * offset.
   */
  readonly instances: RelayedChange & KnownTopicEnd;
}

/** Requests of all processes that are in progress or waiting. */
export interface DemandTotals {
  readonly byModel: Readonly<Record<string, number>>;
  /** By organisation; only the largest counts. */
  readonly byTenant: Readonly<Record<string, number>>;
}

/** End of a topic, as far as a process knows. */
export interface KnownTopicEnd {
  readonly nextOffset: number;
  /**
   * Time since this was last confirmed as the end of the topic; null if
   * unknown.
   */
  readonly proofAgeMs: number | null;
  /** Start of the store's era; absent from earlier versions, and in era 0. */
  readonly eraStart?: ToldEraStart;
}

/** Validates a report of another process; throws if it is malformed. */
export function parseReport(input: unknown): PeerReport {
  const report = input as Partial<PeerReport> | null | undefined;
  const isValid = isPeerNode(report?.reporter) &&
    isPeerSummary(report?.summary) &&
    isKnownStatus(report?.known) && Number.isFinite(report?.holdMs);
  if (isValid) return withParsedParts(report as PeerReport);
  throw new Error("Malformed report; run one version on all machines");
}

/** Leaves out optional parts of a report that can't be read. */
function withParsedParts(report: PeerReport): PeerReport {
  const { quarantine, limits, lostLinks, ...summary } = report.summary;
  const parsedQuarantine = parseQuarantineReport(quarantine);
  const parsedLimits = parseLimitReport(limits);
  return {
    ...report,
    summary: {
      ...summary,
      ...(parsedQuarantine === undefined
        ? {}
        : { quarantine: parsedQuarantine }),
      ...(parsedLimits === undefined ? {} : { limits: parsedLimits }),
      ...(areLostLinks(lostLinks) ? { lostLinks } : {}),
    },
  };
}

function areLostLinks(input: unknown): input is readonly LostLinks[] {
  return Array.isArray(input) &&
    input.every((entry: Partial<LostLinks> | null) =>
      typeof entry?.nodeId === "string" && isStringArray(entry.services)
    );
}

function isPeerNode(input: PeerNode | undefined): boolean {
  return typeof input === "object" && input !== null &&
    typeof input.nodeId === "string" &&
    typeof input.peerAddress === "string" &&
    typeof input.zone === "string" && Number.isFinite(input.cores);
}

function isPeerSummary(input: PeerSummary | undefined): boolean {
  return typeof input === "object" && input !== null &&
    Number.isSafeInteger(input.processes) &&
    Array.isArray(input.candidates) && input.candidates.every(isPeerNode) &&
    isStringArray(input.stalledHeads) && isStringArray(input.slowHeads) &&
    Array.isArray(input.leaving) &&
    isRecord(input.demand) && isRecord(input.tenantDemand) &&
    isRecord(input.repeats) &&
    typeof input.hasTraffic === "boolean";
}

function isKnownStatus(input: KnownStatus | undefined): boolean {
  return typeof input === "object" && input !== null &&
    Number.isSafeInteger(input.term) &&
    typeof input.relaysVersion === "string" &&
    typeof input.updatesVersion === "string" &&
    Number.isSafeInteger(input.instancesOffset) &&
    Number.isSafeInteger(input.configOffset);
}

function isStringArray(input: unknown): boolean {
  return Array.isArray(input) &&
    input.every((text) => typeof text === "string");
}

function isRecord(input: unknown): boolean {
  return typeof input === "object" && input !== null && !Array.isArray(input);
}
