import type { Agent } from "node:http";
import type { AdmissionRecord, CallAdmission } from "./admission/index.ts";
import type { CallerTimeoutTracker } from "./caller_timeout_tracker.ts";
import type { CallCodec, CallHeaders } from "./call.ts";
import type {
  AliveCheck,
  CrashQuarantine,
  SuspectLoad,
} from "./quarantine/index.ts";
import type { InstanceLimits } from "./rate_limit/index.ts";
import type { AttemptEnd, CloseCause, EndCause } from "./end_cause.ts";
import type { ColdRateLimiter } from "./cold_rate_limiter.ts";
import type { ServingTarget } from "./choose_target.ts";
import type { HeldBytes } from "./exchange/index.ts";
import type { GracefulStop } from "./graceful_stop.ts";
import type { LoadTracker } from "./load_tracker.ts";
import type { PaceTracker } from "./pace_tracker.ts";
import type { ProcessLag } from "./process_lag.ts";
import type { PromptBacklog } from "./prompt_backlog.ts";
import type { QueueWaitEstimator } from "./queue_wait_estimator.ts";
import type { SharedRetryBudget } from "./shared_retry_budget.ts";
import type { BackoffTracker } from "./backoff_tracker.ts";
import type { BackendLinks, GatewayChoice } from "./relay/index.ts";
import type { ServingRoute } from "./serving_config.ts";
import type { ServingIndex } from "./serving_index.ts";
import type { SilenceStats } from "./silence_stats.ts";
import type { StallDetector } from "./stall_detector.ts";

/** What serving a call needs from the rest of the process. */
export interface ServingDependencies {
  readonly codec: CallCodec;
  readonly zone: string;
  /** The active configuration; undefined until the first one is loaded. */
  readonly index: () => ServingIndex | undefined;
  /** Whether the tenants' keys are known to be up to date. */
  readonly areKeysFresh: () => boolean;
  /**
   * Whether a change that had to be in force by now would be known. Without
   * it, the lack of a route or key proves nothing.
   */
  readonly isConfigCurrent: () => boolean;
  /** Instances that may take a call for a model, or for a plain service. */
  readonly listTargets: (
    service: string,
    model: string | undefined,
    homes: readonly string[] | undefined,
  ) => readonly ServingTarget[];
  /** Why every instance of a service is excluded; undefined if one is not. */
  readonly findExclusionReason: (
    service: string,
    homes: readonly string[] | undefined,
  ) => ExclusionReason | undefined;
  /** Whether the leader finds a member of a head's replica silent. */
  readonly isReportedSilent: (headId: string) => boolean;
  /** Whether the leader dissolves a head's replica. */
  readonly isClosing: (headId: string) => boolean;
  readonly loads: LoadTracker;
  /** Limits the requests that this process sends to cold instances. */
  readonly coldLimiter: ColdRateLimiter;
  readonly backoffs: BackoffTracker;
  readonly stalls: StallDetector;
  readonly paces: PaceTracker;
  readonly silences: SilenceStats;
  readonly prompts: PromptBacklog;
  readonly quarantine: CrashQuarantine;
  readonly suspectLoad: SuspectLoad;
  /** Tells a lost connection from a crash. */
  readonly aliveCheck: Pick<AliveCheck, "isAlive">;
  /** Keeps to the request rates that instances allow. */
  readonly limits: InstanceLimits;
  readonly queueWaits: QueueWaitEstimator;
  readonly retryBudget: SharedRetryBudget;
  readonly callerTimeouts: CallerTimeoutTracker;
  readonly lag: ProcessLag;
  /** Which requests a process that stops still takes. */
  readonly stop: GracefulStop;
  /** Bounds the memory for buffered request bodies and responses. */
  readonly held: HeldBytes;
  readonly admission: CallAdmission;
  /** Whether this process reaches the instances of each service. */
  readonly links: BackendLinks;
  /** Processes that serve requests while it does not. */
  readonly gateways: GatewayChoice;
  readonly agentFor: (address: string) => Agent;
  readonly discardAgent: (address: string) => void;
  /** Whether an idle connection to an address is open. */
  readonly hasConnection: (address: string) => boolean;
  readonly random: () => number;
  /** Counts the requests in progress or waiting, by model and organisation. */
  readonly noteDemand: (source: DemandSource, change: 1 | -1) => void;
  /** Counts a request that was not sent. */
  readonly onWithheld: (reason: WithheldReason) => void;
  /** Records that a target's response announced that it is leaving. */
  readonly noteLeaving: (target: ServingTarget) => void;
  /** Called with the back-off that a target requested and was granted. */
  readonly onBackoff: (backoff: RequestedBackoff) => void;
  /** Called when a response header cannot be parsed. */
  readonly onMalformedHeaders: (instanceId: string, message: string) => void;
  /** Counts an attempt that brought no whole answer. */
  readonly onAttemptEnded: (end: AttemptEnd) => void;
  /** Called with the first event that arrives after its attempt has ended. */
  readonly onLateEvent: (event: LateEvent) => void;
  /** Called if a connection closes before all of an ended response is sent. */
  readonly onUnsent: (response: UnsentResponse) => void;
  /** Called with an unexpected error. */
  readonly onFault: (defect: unknown) => void;
  readonly record: (outcome: CallRecord) => void;
}

/**
 * Why a request is not sent: its caller disconnected, its deadline passed, this
 * process lags too far behind or stops too soon, its body exceeds the free
 * memory, or a part of its prompt crashes instances.
 */
export type WithheldReason =
  | "left"
  | "deadline"
  | "lag"
  | "memory"
  | "stopping"
  | "quarantine";

/** Why a request may not be sent to any instance of a service. */
export type ExclusionReason = "evacuated" | "not-at-home";

/** The model and organisation whose demand a request adds to. */
export interface DemandSource {
  readonly model: string;
  readonly tenant?: string;
}

/** A back-off that an instance requested. */
export interface RequestedBackoff {
  readonly instanceId: string;
  readonly askedMs: number;
  /** Granted time, in which this process sends it no requests. */
  readonly backoffMs: number;
}

/** A response that was handed over to its connection, but not sent in full. */
export interface UnsentResponse {
  readonly callId: string;
  /** Who closed the connection. */
  readonly reason: string;
  readonly cause: CloseCause;
}

/** An event that arrived after its attempt had ended. */
export interface LateEvent {
  readonly callId: string;
  readonly instanceId: string;
  /** Absent for an event without an id. */
  readonly eventId?: number;
}

/** The result of a call, for logs and metrics. */
export interface CallRecord {
  readonly callId: string;
  readonly route: string;
  readonly service: string;
  readonly model?: string;
  /** 0 if the caller disconnected before the response ended. */
  readonly status: number;
  readonly outcome:
    | "answered"
    | "streamed"
    | "refused"
    | "failed"
    | "broken-off"
    | "left";
  readonly reason?: string;
  /** Absent if the caller got a whole answer, as far as this process knows. */
  readonly cause?: EndCause;
  /** Whether a stream to the caller had begun; absent from whole answers. */
  readonly hasBegun?: boolean;
  /** What it waited for as it ended; absent if an attempt was under way. */
  readonly awaited?: EndCause;
  /** Time left until the deadline; absent from whole answers and refusals. */
  readonly remainingMs?: number;
  readonly attempts: readonly string[];
  readonly durationMs: number;
  readonly firstByteMs?: number;
  /** Longest time between two events of a stream. */
  readonly longestPauseMs?: number;
  readonly promptTokens?: number;
  /** Ids of the parts of its prompt that other prompts may share. */
  readonly promptParts?: readonly string[];
  readonly configVersion: number;
  /** Its wait for a replica and why it was refused; absent without a wait. */
  readonly admission?: AdmissionRecord;
}

/** A validated call that may be forwarded. */
export interface AdmittedCall {
  readonly headers: CallHeaders;
  readonly route: ServingRoute;
  readonly service: string;
  readonly tenant?: string;
  readonly priority: number;
  /** Regions whose instances may serve it; undefined for all. */
  readonly homes?: readonly string[];
  readonly body: Buffer;
  readonly arrivedAtMs: number;
  /** Whether its target time had passed before it arrived, as with a caller's retry. */
  readonly isLate: boolean;
  /** Whether its caller was refused before, inferred from a shorter timeout. */
  readonly wasRefused: boolean;
  /** Time up to which a response meets the route's latency target. */
  readonly targetAtMs: number;
  /** Time at which the caller's or the route's timeout expires. */
  readonly deadlineAtMs: number;
  /** Time at which the caller leaves unless the first byte has arrived. */
  readonly leavesAtMs?: number;
  readonly configVersion: number;
  /** Whether another process sent it here, which its caller had called. */
  readonly isRelayed: boolean;
}
