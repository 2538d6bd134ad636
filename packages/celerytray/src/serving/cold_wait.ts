import type { AttemptsOptions } from "./attempt_progress.ts";
import type { ColdTarget } from "./cold_allowance.ts";

/** Part of the remaining time that a request may wait for a cold instance. */
const WAIT_PART = 0.5;
/** Longest sleep of one that waits, as other instances may come. */
const MAX_STEP_MS = 100;
const MIN_STEP_MS = 5;

/** Every instance that could take the request is cold. */
export interface ColdSearch {
  readonly kind: "cold";
  /** Time until one of them may get the request. */
  readonly waitMs: number;
  /** Time until the request looks again; undefined where it can't wait. */
  readonly stepMs?: number;
}

/** How a request goes on whose targets are all cold and have no token. */
export function planColdWait(
  { call, dependencies: { coldLimiter: cold } }: AttemptsOptions,
  targets: readonly ColdTarget[],
  nowMs: number,
): ColdSearch {
  const { service, head, deadlineAtMs } = call;
  const queue = JSON.stringify([service, head.model]);
  const ahead = cold.enterWait(call, queue);
  const waitMs = cold.waitMs(targets, { ahead, nowMs });
  const canWait = waitMs <= (deadlineAtMs - nowMs) * WAIT_PART;
  const stepMs = Math.max(MIN_STEP_MS, Math.min(waitMs, MAX_STEP_MS));
  return { kind: "cold", waitMs, ...(canWait ? { stepMs } : {}) };
}
