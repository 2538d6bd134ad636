import type { AttemptsOptions } from "./attempt_progress.ts";
import type { ColdTarget } from "./cold_rate_limiter.ts";

/** Fraction of the remaining time that a request may wait for a cold instance. */
const MAX_WAIT_FRACTION = 0.5;
/** Longest sleep between searches, as other instances may become available. */
const MAX_POLL_INTERVAL_MS = 100;
const MIN_POLL_INTERVAL_MS = 5;

/** Every instance that could take the request is cold. */
export interface ColdSearch {
  readonly kind: "cold";
  /** Time until one of them may be sent the request. */
  readonly waitMs: number;
  /** Time until the next search; undefined if the request can't wait. */
  readonly pollAfterMs?: number;
}

/** Plans the wait of a request whose targets are all cold and have no token. */
export function planColdWait(
  { call, dependencies: { coldLimiter } }: AttemptsOptions,
  targets: readonly ColdTarget[],
  nowMs: number,
): ColdSearch {
  const { service, headers, deadlineAtMs } = call;
  const queue = JSON.stringify([service, headers.model]);
  const ahead = coldLimiter.enterQueue(call, queue);
  const waitMs = coldLimiter.estimateWaitMs(targets, { ahead, nowMs });
  const canWait = waitMs <= (deadlineAtMs - nowMs) * MAX_WAIT_FRACTION;
  const pollAfterMs = Math.max(
    MIN_POLL_INTERVAL_MS,
    Math.min(waitMs, MAX_POLL_INTERVAL_MS),
  );
  return { kind: "cold", waitMs, ...(canWait ? { pollAfterMs } : {}) };
}
