import type { AttemptsOptions } from "./attempt_progress.ts";

/** Fraction of the remaining time that a request may wait for an instance. */
const MAX_WAIT_FRACTION = 0.5;
/** Longest sleep between searches, as other instances may become available. */
const MAX_POLL_INTERVAL_MS = 100;
const MIN_POLL_INTERVAL_MS = 5;

/** The wait of a request until it may be sent. */
export interface WaitPlan {
  /** Time until an instance may be sent the request. */
  readonly waitMs: number;
  /** Time until the next search; undefined if the request can't wait. */
  readonly pollAfterMs?: number;
}

/** Plans a wait, unless it takes too much of the request's remaining time. */
export function planWait(
  { deadlineAtMs }: Pick<AttemptsOptions["call"], "deadlineAtMs">,
  { waitMs, nowMs }: { readonly waitMs: number; readonly nowMs: number },
): WaitPlan {
  const canWait = waitMs <= (deadlineAtMs - nowMs) * MAX_WAIT_FRACTION;
  const pollAfterMs = Math.max(
    MIN_POLL_INTERVAL_MS,
    Math.min(waitMs, MAX_POLL_INTERVAL_MS),
  );
  return { waitMs, ...(canWait ? { pollAfterMs } : {}) };
}
