/** What has to be checked and paid before a request is sent once more. */
import { Effect } from "effect";
import { steadyMs } from "../clock/index.ts";
import type {
  AttemptProgress,
  AttemptsOptions,
  AttemptsResult,
} from "./attempt_progress.ts";
import { mustComplete } from "./begun_stream.ts";
import { giveUp, giveUpAtDeadline } from "./conclude_call.ts";

/** Interval at which a begun stream asks the retry budget again. */
const RETRY_BUDGET_POLL_MS = 50;

/**
 * Charges the retry budget for the next attempt, if it is a retry and that was
 * not done. A stream that has begun asks again until its deadline.
 */
export function payRetry(
  options: AttemptsOptions,
  progress: AttemptProgress,
): Effect.Effect<"paid" | "again" | "exhausted"> {
  const { call, dependencies: { retryBudget } } = options;
  return Effect.gen(function* () {
    if (progress.deliveries === 0) return "paid";
    const nowMs = yield* steadyMs;
    progress.isRetryPrepaid ||= retryBudget.trySpend(call.service, nowMs);
    if (progress.isRetryPrepaid) return "paid";
    if (!mustComplete(options)) return "exhausted";
    progress.awaited = "retry-budget";
    yield* Effect.sleep(RETRY_BUDGET_POLL_MS);
    return "again";
  });
}

export function giveUpForBudget(
  options: AttemptsOptions,
  progress: AttemptProgress,
): AttemptsResult {
  return giveUp(options, progress, {
    cause: "retry-budget",
    message: "The retry budget is exhausted",
  });
}

/** Whether a request that has reached no instance comes too late in a stop. */
export function isTooLateToBegin(
  { call, dependencies }: AttemptsOptions,
  { deliveries }: AttemptProgress,
  nowMs: number,
): boolean {
  return deliveries === 0 && dependencies.stop.isTooLate(call, nowMs);
}

export function withhold(
  options: AttemptsOptions,
  progress: AttemptProgress,
  reason: "left" | "deadline",
): Effect.Effect<AttemptsResult> {
  options.dependencies.onWithheld(reason);
  return reason === "left"
    ? Effect.interrupt
    : Effect.succeed(giveUpAtDeadline(options, progress));
}
