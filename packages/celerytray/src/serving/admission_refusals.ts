import {
  type AttemptProgress,
  type AttemptsOptions,
  type AttemptsResult,
  conclude,
} from "./attempt_progress.ts";

/** Refuses a request that no replica can take before its deadline. */
export function refuseInQueue(
  options: AttemptsOptions,
  progress: AttemptProgress,
  retryAfterMs: number,
): AttemptsResult {
  return conclude(options, progress, {
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
    message: "The model has no ready replica",
    unknownStatus: 502,
    retryAfterMs,
  });
}
