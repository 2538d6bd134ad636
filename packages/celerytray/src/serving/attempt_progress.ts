import type { ResponseHeaders } from "./call.ts";
import type { AdmittedCall, ServingDependencies } from "./call_context.ts";
import type { CallerExchange, LocalResponse } from "./caller_exchange.ts";
import type { ServingTarget } from "./choose_target.ts";
import type { AttemptOutcome } from "./attempt_options.ts";
import type { AbandonReason } from "./stall_watch.ts";
import type { RetryPolicy } from "./serving_config.ts";

/** What became of all attempts of a call. */
export type AttemptsResult =
  & AttemptsSummary
  & (
    | {
      readonly kind: "answered";
      readonly head: ResponseHeaders;
      readonly body: Buffer;
    }
    | { readonly kind: "streamed" }
    | {
      readonly kind: "given-up";
      readonly own: LocalResponse;
      readonly hasStarted: boolean;
    }
  );

/** What the attempts of one call work with. */
export interface AttemptsOptions {
  readonly call: AdmittedCall;
  readonly exchange: CallerExchange;
  readonly dependencies: ServingDependencies;
  /** Told when the caller leaves before the answer's end. */
  readonly onLeft: (summary: AttemptsSummary) => void;
}

/** What became of attempts, for logs and metrics. */
export interface AttemptsSummary {
  /** Instances that had the request, with what each came to. */
  readonly attempts: readonly string[];
  readonly firstByteAtMs?: number;
}

/** What is known of a call so far. */
export interface AttemptProgress {
  readonly tried: Set<string>;
  readonly attempts: string[];
  /** Attempts that reached an instance, as far as is known. */
  arrivals: number;
  /** Attempts that may have run. */
  runs: number;
  /** Whether any attempt may have run. */
  mayHaveRun: boolean;
  /** Whether an attempt met a connection that was dropped while idle. */
  hadStale: boolean;
  lastEventId: number | undefined;
  firstByteAtMs: number | undefined;
  /** A failure that an instance answered, if no later attempt does better. */
  failure:
    | { readonly head: ResponseHeaders; readonly body: Buffer }
    | undefined;
  /** Instance of the attempt under way; undefined when there is none. */
  currentId: string | undefined;
  /** Whether anything of the attempt under way was sent. */
  isCurrentSent: boolean;
  /** Ends the attempt under way; undefined when there is none. */
  abandon: ((reason: AbandonReason) => void) | undefined;
  /** Whether the budget was already charged for the next attempt. */
  isNextPaid: boolean;
}

/** Time for which an instance that couldn't be reached is left alone. */
const AVOID_UNREACHABLE_MS = 1_000;
/** Time for which one that turned requests away is left alone. */
const AVOID_FULL_MS = 150;
/** Time for which one that stood still is left alone. */
const AVOID_STALLED_MS = 2_500;
const FULL_RETRY_MS = 400;
/** Time in which replicas that are full may get through their work. */
const FULL_REPLICAS_RETRY_MS = 1_200;
/** Part of the remaining time up to which callers honour Retry-After. */
const RETRY_PART = 1 / 3;
const NO_REPLICA_RETRY_MS = 800;
const SERVER_ERROR_STATUS = 500;
/** Statuses that promise callers that a request did not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

/** Progress of a call that was not attempted yet. */
export function createProgress(call: AdmittedCall): AttemptProgress {
  return {
    tried: new Set(),
    attempts: [],
    arrivals: 0,
    runs: 0,
    mayHaveRun: false,
    hadStale: false,
    lastEventId: call.head.lastEventId,
    firstByteAtMs: undefined,
    failure: undefined,
    currentId: undefined,
    isCurrentSent: false,
    abandon: undefined,
    isNextPaid: false,
  };
}

/** What an attempt came to, and of which call. */
export interface NotedOutcome {
  readonly options: AttemptsOptions;
  readonly progress: AttemptProgress;
  readonly target: ServingTarget;
  readonly outcome: AttemptOutcome;
  readonly nowMs: number;
}

/** Takes note of what an attempt came to. */
export function noteOutcome(
  { options, progress, target, outcome, nowMs }: NotedOutcome,
): void {
  const { loads } = options.dependencies;
  const { instanceId, address } = target;
  progress.currentId = undefined;
  progress.isCurrentSent = false;
  progress.abandon = undefined;
  if (outcome.kind !== "not-run" || outcome.isTurnedAway) {
    progress.arrivals += 1;
  }
  progress.attempts.push(`${instanceId} ${describeOutcome(outcome)}`);
  if (outcome.kind === "not-run" && outcome.isWithheld) return;
  if (outcome.kind !== "not-run") progress.mayHaveRun = true;
  if (outcome.kind === "lost" && outcome.isStale && !progress.hadStale) {
    // The instance dropped the idle connection; a fresh one may do.
    progress.hadStale = true;
    progress.tried.delete(instanceId);
    options.dependencies.discardAgent(address);
    return;
  }
  if (outcome.kind !== "not-run") progress.runs += 1;
  if (outcome.kind === "not-run") {
    loads.avoidUntil(
      instanceId,
      nowMs + (outcome.isTurnedAway ? AVOID_FULL_MS : AVOID_UNREACHABLE_MS),
    );
  } else if (outcome.kind === "lost") {
    if (outcome.abandoned === "slow") return;
    options.dependencies.discardAgent(address);
    if (outcome.abandoned === "stalled") {
      loads.avoidUntil(instanceId, nowMs + AVOID_STALLED_MS);
    }
  }
  loads.noteOutcome(instanceId, {
    hasFailed: outcome.kind === "lost" ||
      (outcome.kind === "answered" &&
        outcome.head.status >= SERVER_ERROR_STATUS),
    nowMs,
  });
}

/** Whether a failure that an instance answered is worth another attempt. */
export function mayRepeatAnswer(
  options: AttemptsOptions,
  progress: AttemptProgress,
  head: ResponseHeaders,
): boolean {
  return head.status >= SERVER_ERROR_STATUS &&
    mayAttemptAgain(options, progress);
}

/** Whether a status would tell the caller of a run request that it did not run. */
export function isFalsePromise(
  repeatability: RetryPolicy,
  head: ResponseHeaders,
): boolean {
  return repeatability === "once" && NOT_RUN_STATUSES.includes(head.status);
}

/** Whether the route and what has run allow another attempt. */
export function mayAttemptAgain(
  { call }: AttemptsOptions,
  progress: AttemptProgress,
): boolean {
  if (call.route.retryPolicy === "once" && progress.mayHaveRun) return false;
  return progress.runs < Math.max(1, call.route.maxAttempts);
}

/** Whether another attempt is allowed once the one under way has ended. */
export function mayAttemptAfterThis(
  { call }: AttemptsOptions,
  progress: AttemptProgress,
): boolean {
  return call.route.retryPolicy !== "once" &&
    progress.runs + 1 < Math.max(1, call.route.maxAttempts);
}

/** The answer to a request that would begin too late wherever it went. */
export function refuseAsFull(
  { exchange }: AttemptsOptions,
  progress: AttemptProgress,
): AttemptsResult {
  return {
    kind: "given-up",
    own: {
      status: 503,
      message: "Every replica is full; the request was not run",
      retryAfterMs: FULL_REPLICAS_RETRY_MS,
    },
    hasStarted: exchange.hasStarted,
    ...summarize(progress),
  };
}

/** The answer to a request whose targets all asked for time. */
export function refuseWhileBackingOff(
  options: AttemptsOptions,
  progress: AttemptProgress,
  backoffMs: number,
): AttemptsResult {
  return conclude(options, progress, {
    message: "Every back end asked for time",
    unknownStatus: 502,
    retryAfterMs: backoffMs,
  });
}

/** The answer to a request whose targets are all cold for too long. */
export function refuseWhileCold(
  options: AttemptsOptions,
  progress: AttemptProgress,
  { waitMs, nowMs }: { readonly waitMs: number; readonly nowMs: number },
): AttemptsResult {
  const remainingMs = Math.max(0, options.call.deadlineAtMs - nowMs);
  return conclude(options, progress, {
    message: "Every back end is cold",
    unknownStatus: 502,
    retryAfterMs: Math.min(waitMs, remainingMs * RETRY_PART),
  });
}

/** The answer in this system's own name when no attempt is left. */
export function giveUp(
  options: AttemptsOptions,
  progress: AttemptProgress,
  message: string,
): AttemptsResult {
  return conclude(options, progress, { message, unknownStatus: 502 });
}

/** The same when the time for the answer is over. */
export function runOutOfTime(
  options: AttemptsOptions,
  progress: AttemptProgress,
): AttemptsResult {
  const message = "The request's time is over";
  return conclude(options, progress, { message, unknownStatus: 504 });
}

interface Conclusion {
  readonly message: string;
  /** Status where the request may have run. */
  readonly unknownStatus: number;
  /** Time after which a request that did not run may come back. */
  readonly retryAfterMs?: number;
}

/** The answer in this system's own name, or a failure that an instance answered. */
export function conclude(
  { call, exchange }: AttemptsOptions,
  progress: AttemptProgress,
  { message, unknownStatus, ...conclusion }: Conclusion,
): AttemptsResult {
  if (progress.failure !== undefined && !exchange.hasStarted) {
    return {
      kind: "answered",
      ...progress.failure,
      ...summarize(progress),
    };
  }
  const retryAfterMs = conclusion.retryAfterMs ??
    (progress.attempts.length > 0 ? FULL_RETRY_MS : NO_REPLICA_RETRY_MS);
  const own: LocalResponse = progress.mayHaveRun || progress.isCurrentSent
    ? {
      status: unknownStatus,
      message: `${message}; it may have run on ${call.service}`,
    }
    : {
      status: 503,
      message: `${message}; it was not run`,
      retryAfterMs,
    };
  return {
    kind: "given-up",
    own,
    hasStarted: exchange.hasStarted,
    ...summarize(progress),
  };
}

/** What became of the attempts so far, the one under way included. */
export function summarize(progress: AttemptProgress): AttemptsSummary {
  const { currentId, firstByteAtMs } = progress;
  const attempts = currentId === undefined
    ? progress.attempts
    : [...progress.attempts, `${currentId} under way`];
  return firstByteAtMs === undefined
    ? { attempts }
    : { attempts, firstByteAtMs };
}

/** An outcome in a few words. */
export function describeOutcome(outcome: AttemptOutcome): string {
  switch (outcome.kind) {
    case "answered":
      return `answered ${outcome.head.status}`;
    case "streamed":
      return "streamed";
    default:
      return outcome.message;
  }
}
