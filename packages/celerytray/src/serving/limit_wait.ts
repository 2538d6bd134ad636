import type { AttemptsOptions } from "./attempt_progress.ts";
import type { IncarnatedTarget } from "./incarnation_key.ts";
import { createPool } from "./rate_limit/index.ts";
import { planWait, type WaitPlan } from "./wait_plan.ts";

/** Retry-After where only other processes may send to the instances. */
const NO_SHARE_RETRY_AFTER_MS = 200;

/** Every instance that could take the request has reached its rate limit. */
export interface LimitedSearch extends WaitPlan {
  readonly kind: "limited";
}

/** Plans the wait of a request whose targets have all reached their limits. */
export function planLimitWait(
  { call, dependencies: { limits, coldLimiter } }: AttemptsOptions,
  targets: readonly IncarnatedTarget[],
  nowMs: number,
): LimitedSearch {
  const ahead = coldLimiter.enterQueue(call, createPool(call));
  const firstMs = Math.min(
    ...targets.map((target) => limits.findWaitMs(target, nowMs)),
  );
  if (!Number.isFinite(firstMs)) {
    return { kind: "limited", waitMs: NO_SHARE_RETRY_AFTER_MS };
  }
  const perSecond = targets.reduce(
    (sum, target) => sum + (limits.findRate(target, nowMs) ?? 0),
    0,
  );
  const waitMs = firstMs + (ahead === 0 ? 0 : ahead / perSecond * 1_000);
  return { kind: "limited", ...planWait(call, { waitMs, nowMs }) };
}
