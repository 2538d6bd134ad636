import {
  type AttemptProgress,
  type AttemptsOptions,
  type AttemptsResult,
  summarize,
} from "./attempt_progress.ts";
import type { EndCause } from "./end_cause.ts";
import type { LocalResponse } from "./exchange/index.ts";
import { STOPPING_RETRY_AFTER_MS } from "./graceful_stop.ts";
import {
  describeQuarantineRefusal,
  type QuarantineRefusal,
} from "./quarantine/index.ts";

/** Retry-After of a request whose attempts were all not run. */
const ATTEMPTED_RETRY_AFTER_MS = 400;
/** Time in which full replicas can finish some of their requests. */
const FULL_REPLICAS_RETRY_AFTER_MS = 1_200;
/** Callers honour Retry-After only up to this fraction of their remaining time. */
const RETRY_AFTER_FRACTION = 1 / 3;
/** Retry-After of a request without any attempt. */
const NO_REPLICA_RETRY_AFTER_MS = 800;

const WAIT_MESSAGES: Readonly<Record<"cold" | "limited", string>> = {
  cold: "Every back end is cold",
  limited: "Every back end has reached the request rate that it allows",
};

/** Refuses a request that would start too late on every replica. */
export function refuseAsFull(
  { exchange }: AttemptsOptions,
  progress: AttemptProgress,
): AttemptsResult {
  return {
    kind: "given-up",
    cause: "full",
    response: {
      status: 503,
      message: "Every replica is full; the request was not run",
      retryAfterMs: FULL_REPLICAS_RETRY_AFTER_MS,
    },
    hasStarted: exchange.hasStarted,
    ...summarize(progress),
  };
}

/** Refuses a request whose targets all requested a back-off. */
export function refuseWhileBackingOff(
  options: AttemptsOptions,
  progress: AttemptProgress,
  backoffMs: number,
): AttemptsResult {
  return conclude(options, progress, {
    cause: "backing-off",
    message: "Every back end requested a back-off",
    unknownStatus: 502,
    retryAfterMs: backoffMs,
  });
}

/** Refuses a request whose turn at its targets comes too late. */
export function refuseBeforeTurn(
  options: AttemptsOptions,
  progress: AttemptProgress,
  { cause, waitMs, nowMs }: {
    readonly cause: "cold" | "limited";
    readonly waitMs: number;
    readonly nowMs: number;
  },
): AttemptsResult {
  const remainingMs = Math.max(0, options.call.deadlineAtMs - nowMs);
  return conclude(options, progress, {
    cause,
    message: WAIT_MESSAGES[cause],
    unknownStatus: 502,
    retryAfterMs: Math.min(waitMs, remainingMs * RETRY_AFTER_FRACTION),
  });
}

/** Refuses a request that no replica can take before its deadline. */
export function refuseInQueue(
  options: AttemptsOptions,
  progress: AttemptProgress,
  retryAfterMs: number,
): AttemptsResult {
  return conclude(options, progress, {
    cause: "queue",
    message: "No replica is free before the request's deadline",
    unknownStatus: 502,
    retryAfterMs,
  });
}

/** Refuses a request whose model has no replica for a known time. */
export function refuseWithoutReplica(
  options: AttemptsOptions,
  progress: AttemptProgress,
  retryAfterMs: number,
): AttemptsResult {
  return conclude(options, progress, {
    cause: "no-replica",
    message: "The model has no ready replica",
    unknownStatus: 502,
    retryAfterMs,
  });
}

/** Refuses a request that crashes instances, or has a part that does. */
export function refuseForQuarantine(
  options: AttemptsOptions,
  progress: AttemptProgress,
  refusal: QuarantineRefusal,
): AttemptsResult {
  return conclude(options, progress, {
    cause: "quarantine",
    ...describeQuarantineRefusal(refusal),
    unknownStatus: 502,
  });
}

/** Ends a call for which no further attempt is possible. */
export function giveUp(
  options: AttemptsOptions,
  progress: AttemptProgress,
  { cause, message }: Pick<Conclusion, "cause" | "message">,
): AttemptsResult {
  return conclude(options, progress, { cause, message, unknownStatus: 502 });
}

/** Ends a call for which no further attempt is allowed after the last one. */
export function giveUpAfterLast(
  options: AttemptsOptions,
  progress: AttemptProgress,
  message: string,
): AttemptsResult {
  const cause = !progress.stream.isResumable
    ? "not-resumable"
    : options.call.route.retryPolicy === "once"
    ? "not-repeatable"
    : "attempts";
  return giveUp(options, progress, { cause, message });
}

/** Ends a call whose deadline has passed. */
export function giveUpAtDeadline(
  options: AttemptsOptions,
  progress: AttemptProgress,
): AttemptsResult {
  const { route, arrivedAtMs, deadlineAtMs } = options.call;
  const isRouteTimeout = deadlineAtMs >= arrivedAtMs + route.timeoutMs;
  return conclude(options, progress, {
    cause: isRouteTimeout ? "route-timeout" : "caller-timeout",
    message: "The request's deadline has passed",
    unknownStatus: 504,
  });
}

/**
 * Ends a call as this process stops: one that comes too late to begin, or one
 * that is still under way at the end.
 */
export function giveUpAtStop(
  options: AttemptsOptions,
  progress: AttemptProgress,
): AttemptsResult {
  return conclude(options, progress, {
    cause: "stop",
    message: "This process is stopping",
    unknownStatus: 502,
    retryAfterMs: STOPPING_RETRY_AFTER_MS,
  });
}

interface Conclusion {
  readonly cause: EndCause;
  readonly message: string;
  /** Status if the request may have run. */
  readonly unknownStatus: number;
  /** Time after which the caller may retry a request that did not run. */
  readonly retryAfterMs?: number;
}

/** Returns an instance's error response if there is one, else a local response. */
function conclude(
  { call, exchange }: AttemptsOptions,
  progress: AttemptProgress,
  { cause, message, unknownStatus, ...conclusion }: Conclusion,
): AttemptsResult {
  if (progress.failure !== undefined && !exchange.hasStarted) {
    return {
      kind: "answered",
      ...progress.failure,
      ...summarize(progress),
    };
  }
  const retryAfterMs = conclusion.retryAfterMs ??
    (progress.attempts.length > 0
      ? ATTEMPTED_RETRY_AFTER_MS
      : NO_REPLICA_RETRY_AFTER_MS);
  const response: LocalResponse = progress.mayHaveRun || progress.isCurrentSent
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
    cause,
    response,
    hasStarted: exchange.hasStarted,
    ...summarize(progress),
  };
}
