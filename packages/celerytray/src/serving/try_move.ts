import {
  type AttemptProgress,
  type AttemptsOptions,
  mayAttemptAfter,
} from "./attempt_progress.ts";
import { mustRelay } from "./choose_gateway.ts";
import {
  chooseTarget,
  isPreferred,
  type ServingTarget,
  type TargetChoice,
} from "./choose_target.ts";
import { createChoice } from "./create_choice.ts";
import type { AbandonReason } from "./stall_detector.ts";

/**
 * Time for which the links must be lost before a stream is moved to another
 * process. Where all instances are silent for a moment, all processes take that
 * for a loss, and know it of each other after this time.
 */
const MIN_LOST_MS = 1_000;
/** Minimum remaining time for which a stream is moved to another replica. */
const MIN_MOVE_REMAINING_MS = 500;

/**
 * Ends the current attempt if another instance can certainly take the request,
 * or another process while the links are lost; returns whether it did.
 */
export function tryMove(
  options: AttemptsOptions,
  progress: AttemptProgress,
  { target, reason, nowMs }: {
    /** Target of the current attempt. */
    readonly target: ServingTarget;
    readonly reason: AbandonReason;
    readonly nowMs: number;
  },
): boolean {
  const { call, dependencies } = options;
  if (
    progress.abandon === undefined ||
    !mayAttemptAfter(target, options, progress)
  ) return false;
  if (call.deadlineAtMs - nowMs < MIN_MOVE_REMAINING_MS) return false;
  const lostForMs = dependencies.links.lostForMs(call.service, nowMs);
  const canRelay = lostForMs >= MIN_LOST_MS &&
    mustRelay(options, progress, nowMs);
  if (!canRelay && !hasFreeTarget(options, progress, { reason, nowMs })) {
    return false;
  }
  const { retryBudget } = dependencies;
  // An attempt that was never sent does not make the next one a retry.
  if (progress.isCurrentSent || progress.deliveries > 0) {
    if (!retryBudget.trySpend(call.service, nowMs)) return false;
    progress.isRetryPrepaid = true;
  }
  progress.abandon(reason);
  return true;
}

/** Whether another instance can certainly take the request. */
function hasFreeTarget(
  options: AttemptsOptions,
  progress: AttemptProgress,
  { reason, nowMs }: {
    readonly reason: AbandonReason;
    readonly nowMs: number;
  },
): boolean {
  const { dependencies } = options;
  const choice: TargetChoice = {
    ...createChoice(options, progress, nowMs),
    // A single token would let all requests at a head move to the same instance.
    maySend: (target) =>
      dependencies.coldLimiter.isWarm(target, nowMs) &&
      !dependencies.limits.isLimited(target, nowMs),
  };
  const target = chooseTarget(choice);
  if (target === undefined || !isPreferred(target, choice)) return false;
  const { loads } = dependencies;
  const hasFreeSlot = loads.estimate(target.instanceId, nowMs) < target.slots;
  return reason === "stalled" || hasFreeSlot;
}
