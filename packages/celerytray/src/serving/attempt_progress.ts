import type { ResponseHeaders } from "./call.ts";
import type { AdmittedCall, ServingDependencies } from "./call_context.ts";
import {
  type AttemptOutcome,
  type CallerExchange,
  CallerStream,
  type LocalResponse,
} from "./exchange/index.ts";
import { mustComplete, Refusals } from "./begun_stream.ts";
import type { ServingTarget } from "./choose_target.ts";
import type { EndCause } from "./end_cause.ts";
import type { AbandonReason } from "./stall_detector.ts";
import { ReplicaRuns } from "./replica_runs.ts";
import type { RetryPolicy } from "./serving_config.ts";
import { CallCauses } from "./quarantine/index.ts";

/** The result of all attempts of a call. */
export type AttemptsResult =
  & AttemptsSummary
  & (
    | {
      readonly kind: "answered";
      readonly headers: ResponseHeaders;
      readonly body: Buffer;
    }
    | { readonly kind: "streamed" }
    | {
      readonly kind: "given-up";
      readonly cause: EndCause;
      readonly response: LocalResponse;
      readonly hasStarted: boolean;
    }
  );

/** Inputs to the attempts of one call. */
export interface AttemptsOptions {
  readonly call: AdmittedCall;
  readonly exchange: CallerExchange;
  readonly dependencies: ServingDependencies;
  /** Called when the caller disconnects before the response ends. */
  readonly onLeft: (summary: AttemptsSummary) => void;
}

/** Summary of a call's attempts, for logs and metrics. */
export interface AttemptsSummary {
  /** Instance id, outcome and events passed on of each attempt. */
  readonly attempts: readonly string[];
  readonly firstByteAtMs?: number;
  /** Longest time between two events; absent with fewer than two. */
  readonly longestPauseMs?: number;
  /** What it waited for at the end; absent during an attempt. */
  readonly awaited?: EndCause;
}

/** Mutable state of a call over its attempts. */
export interface AttemptProgress {
  /** What of the call may crash instances. */
  readonly causes: CallCauses;
  /** Name of the replica at which an instance was last tried, by instance. */
  readonly tried: Map<string, string>;
  /** Time at which an instance last rejected it or could not be reached. */
  readonly notRunAtMs: Map<string, number>;
  readonly attempts: string[];
  readonly refusals: Refusals;
  /** Time at which it was last sent to another process, by node. */
  readonly gatewaySentAtMs: Map<string, number>;
  /** Attempts that may have reached an instance. */
  deliveries: number;
  /** Where it may have run, except for the first on a stale connection. */
  readonly runs: ReplicaRuns;
  /** Whether any attempt may have run. */
  mayHaveRun: boolean;
  /** Whether an attempt failed on a connection that was closed while idle. */
  hadStaleConnection: boolean;
  readonly stream: CallerStream;
  firstByteAtMs: number | undefined;
  /** Undefined before the first event and after a pause of the caller. */
  lastEventAtMs: number | undefined;
  /** Longest time between two events, over all attempts. */
  longestPauseMs: number | undefined;
  /** The last refusal of a gateway, sent on if no other one serves. */
  refusal: LocalResponse | undefined;
  /** An instance's error response, sent on if no later attempt succeeds. */
  failure:
    | { readonly headers: ResponseHeaders; readonly body: Buffer }
    | undefined;
  /** Name of the current attempt's instance or gateway, for logs. */
  currentInstanceId: string | undefined;
  /** Whether sending the current attempt's request has begun. */
  isCurrentSent: boolean;
  /** Ends the current attempt; undefined if there is none. */
  abandon: ((reason: AbandonReason) => void) | undefined;
  /** What the next attempt waits for; undefined if there is no such wait. */
  awaited: EndCause | undefined;
  /** Whether the next attempt tries a held part of a prompt. */
  isTrial: boolean;
  /** Whether the retry budget was already charged for the next attempt. */
  isRetryPrepaid: boolean;
}

/** Lowest status with which an instance reports an error of its own. */
export const SERVER_ERROR_STATUS = 500;
/** Statuses from which callers conclude that a request did not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

/** Creates the state of a call before its first attempt. */
export function createProgress(
  { call, exchange }: AttemptsOptions,
): AttemptProgress {
  return {
    causes: new CallCauses(call),
    tried: new Map(),
    notRunAtMs: new Map(),
    attempts: [],
    refusals: new Refusals(),
    gatewaySentAtMs: new Map(),
    deliveries: 0,
    runs: new ReplicaRuns(),
    mayHaveRun: false,
    hadStaleConnection: false,
    stream: new CallerStream({
      sink: exchange,
      lastEventId: Number.isNaN(call.headers.lastEventId)
        ? undefined
        : call.headers.lastEventId,
    }),
    firstByteAtMs: undefined,
    lastEventAtMs: undefined,
    longestPauseMs: undefined,
    refusal: undefined,
    failure: undefined,
    currentInstanceId: undefined,
    isCurrentSent: false,
    abandon: undefined,
    awaited: undefined,
    isTrial: false,
    isRetryPrepaid: false,
  };
}

/** Records when an event arrived. */
export function noteEventTime(progress: AttemptProgress, nowMs: number): void {
  const { lastEventAtMs, longestPauseMs = 0 } = progress;
  progress.firstByteAtMs ??= nowMs;
  progress.lastEventAtMs = nowMs;
  if (lastEventAtMs === undefined) return;
  progress.longestPauseMs = Math.max(longestPauseMs, nowMs - lastEventAtMs);
}

/** Whether an instance's error response may be retried. */
export function mayRetryResponse(
  options: AttemptsOptions,
  progress: AttemptProgress,
  headers: ResponseHeaders,
): boolean {
  return headers.status >= SERVER_ERROR_STATUS &&
    mayAttemptAgain(options, progress);
}

/** Whether a status would wrongly tell the caller that its request did not run. */
export function wouldMisreportNotRun(
  retryPolicy: RetryPolicy,
  headers: ResponseHeaders,
): boolean {
  return retryPolicy === "once" && NOT_RUN_STATUSES.includes(headers.status);
}

/**
 * Whether the route's retry policy, the attempts so far and what the caller has
 * allow another one. A stream that has begun may also go on where it ran.
 */
export function mayAttemptAgain(
  options: AttemptsOptions,
  progress: AttemptProgress,
): boolean {
  const { call } = options;
  if (call.route.retryPolicy === "once" && progress.mayHaveRun) return false;
  if (!progress.stream.isResumable) return false;
  const { runs } = progress;
  return runs.count < maxReplicas(call) ||
    (mustComplete(options) && runs.mayReturn);
}

/** Number of replicas at which a request may run. */
export function maxReplicas({ route }: AttemptsOptions["call"]): number {
  return Math.max(1, route.maxAttempts);
}

/** Whether another replica is allowed after the current one. */
export function mayAttemptAfter(
  target: ServingTarget,
  { call }: AttemptsOptions,
  progress: AttemptProgress,
): boolean {
  return call.route.retryPolicy !== "once" && progress.stream.isResumable &&
    progress.runs.countWith(target) < maxReplicas(call);
}

/** Summarizes the attempts so far, the current one included. */
export function summarize(progress: AttemptProgress): AttemptsSummary {
  const { currentInstanceId, firstByteAtMs, longestPauseMs, awaited } =
    progress;
  const attempts = currentInstanceId === undefined ? progress.attempts : [
    ...progress.attempts,
    `${currentInstanceId} under way${progress.stream.describeLastTurn()}`,
  ];
  return {
    attempts,
    ...(firstByteAtMs === undefined ? {} : { firstByteAtMs }),
    ...(longestPauseMs === undefined ? {} : { longestPauseMs }),
    ...(awaited === undefined ? {} : { awaited }),
  };
}

/** Describes an outcome for logs. */
export function describeOutcome(outcome: AttemptOutcome): string {
  switch (outcome.kind) {
    case "answered":
      return `answered ${outcome.headers.status}`;
    case "streamed":
      return "streamed";
    default:
      return outcome.message;
  }
}
