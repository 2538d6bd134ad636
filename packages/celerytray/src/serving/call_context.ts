import type { Agent } from "node:http";
import type { AdmissionRecord, CallAdmission } from "./admission/index.ts";
import type { CallerTimeoutTracker } from "./budget_tracker.ts";
import type { CallCodec, CallHeaders } from "./call.ts";
import type { ColdRateLimiter } from "./cold_allowance.ts";
import type { ServingTarget } from "./choose_target.ts";
import type { HeldBytes } from "./held_bytes.ts";
import type { LoadTracker } from "./load_tracker.ts";
import type { PaceTracker } from "./pace_tracker.ts";
import type { ProcessLag } from "./process_lag.ts";
import type { QueueWaitEstimator } from "./queue_wait.ts";
import type { SharedRetryBudget } from "./repeat_budget.ts";
import type { BackoffTracker } from "./backoff_tracker.ts";
import type { ServingRoute } from "./serving_config.ts";
import type { ServingIndex } from "./serving_index.ts";
import type { StallDetector } from "./stall_watch.ts";

/** What serving a call needs of its process. */
export interface ServingDependencies {
  readonly codec: CallCodec;
  readonly zone: string;
  /** The configuration in force; undefined before there is one. */
  readonly index: () => ServingIndex | undefined;
  /** Whether keys are known to be the newest. */
  readonly areKeysFresh: () => boolean;
  /** Instances that may take a call: of a model, or of a plain service. */
  readonly listTargets: (
    service: string,
    model: string | undefined,
    homes: readonly string[] | undefined,
  ) => readonly ServingTarget[];
  /** Why no instance of a service may get a call; undefined if one may. */
  readonly findExclusionReason: (
    service: string,
    homes: readonly string[] | undefined,
  ) => ExclusionReason | undefined;
  readonly loads: LoadTracker;
  /** What cold instances may get from this process. */
  readonly coldLimiter: ColdRateLimiter;
  readonly backoffs: BackoffTracker;
  readonly stalls: StallDetector;
  readonly paces: PaceTracker;
  readonly queueWaits: QueueWaitEstimator;
  readonly retryBudget: SharedRetryBudget;
  readonly callerTimeouts: CallerTimeoutTracker;
  readonly lag: ProcessLag;
  /** Bounds the bytes that are held for callers. */
  readonly held: HeldBytes;
  readonly admission: CallAdmission;
  readonly agentFor: (address: string) => Agent;
  readonly discardAgent: (address: string) => void;
  /** Whether a connection to an address is open and unused. */
  readonly hasConnection: (address: string) => boolean;
  readonly random: () => number;
  /** Counts the requests in progress or waiting, by model and organisation. */
  readonly noteDemand: (source: DemandSource, change: 1 | -1) => void;
  /** Counts a request that was not sent. */
  readonly onWithheld: (reason: WithheldReason) => void;
  /** Takes note that a target's answer said that it leaves. */
  readonly noteLeaving: (target: ServingTarget) => void;
  /** Told of a back-off that a target asked for, and of what it gets. */
  readonly onBackoff: (backoff: NotedBackoff) => void;
  /** Told of a head of an answer that can't be read in full. */
  readonly onMalformedHeaders: (instanceId: string, message: string) => void;
  /** Told of an unexpected error. */
  readonly onFault: (defect: unknown) => void;
  readonly record: (outcome: CallRecord) => void;
}

/**
 * Why a request is not sent: its caller left, its time is over, this process
 * is behind, or its body does not fit.
 */
export type WithheldReason = "left" | "deadline" | "lag" | "memory";

/** Why a request may go to none of a service's instances. */
export type ExclusionReason = "evacuated" | "not-at-home";

/** What a request counts for. */
export interface DemandSource {
  readonly model: string;
  readonly tenant?: string;
}

/** A back-off that an instance asked for. */
export interface NotedBackoff {
  readonly instanceId: string;
  readonly askedMs: number;
  /** Time for which it gets no requests from here. */
  readonly backoffMs: number;
}

/** What became of a call, for logs and metrics. */
export interface CallRecord {
  readonly callId: string;
  readonly route: string;
  readonly service: string;
  readonly model?: string;
  /** 0 where the caller left before its end. */
  readonly status: number;
  readonly outcome:
    | "answered"
    | "streamed"
    | "refused"
    | "failed"
    | "broken-off"
    | "left";
  readonly reason?: string;
  readonly attempts: readonly string[];
  readonly durationMs: number;
  readonly firstByteMs?: number;
  readonly configVersion: number;
  /** Its wait for a replica, and why that was no use; absent without one. */
  readonly admission?: AdmissionRecord;
}

/** A call that may be forwarded. */
export interface AdmittedCall {
  readonly head: CallHeaders;
  readonly route: ServingRoute;
  readonly service: string;
  readonly tenant?: string;
  readonly priority: number;
  /** Regions whose instances may get it; undefined for all. */
  readonly homes?: readonly string[];
  readonly body: Buffer;
  readonly arrivedAtMs: number;
  /** Whether its target time had passed before it came, as with a repeat. */
  readonly isLate: boolean;
  /** Whether its caller was refused before, by its shortened deadline. */
  readonly wasRefused: boolean;
  /** Time up to which an answer is on time. */
  readonly targetAtMs: number;
  /** Time at which the caller or the route's bound gives up. */
  readonly deadlineAtMs: number;
  readonly configVersion: number;
}
