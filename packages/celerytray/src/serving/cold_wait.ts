import type { AttemptsOptions } from "./attempt_progress.ts";
import type { ColdTarget } from "./cold_rate_limiter.ts";
import { createPool } from "./rate_limit/index.ts";
import { planWait, type WaitPlan } from "./wait_plan.ts";

/** Every instance that could take the request is cold. */
export interface ColdSearch extends WaitPlan {
  readonly kind: "cold";
}

/** Plans the wait of a request whose targets are all cold and have no token. */
export function planColdWait(
  { call, dependencies: { coldLimiter } }: AttemptsOptions,
  targets: readonly ColdTarget[],
  nowMs: number,
): ColdSearch {
  const ahead = coldLimiter.enterQueue(call, createPool(call));
  const waitMs = coldLimiter.estimateWaitMs(targets, { ahead, nowMs });
  return { kind: "cold", ...planWait(call, { waitMs, nowMs }) };
}
