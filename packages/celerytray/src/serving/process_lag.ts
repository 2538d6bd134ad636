import type { LocalResponse } from "./exchange/index.ts";

/** By how much this process lags behind its work. */
export interface ProcessLag {
  /** Sustained lag. */
  readonly lagMs: (nowMs: number) => number;
  /** Whether the process lagged within the last second. */
  readonly isBehind: (nowMs: number) => boolean;
}

/** What decides whether a new request can start in time. */
export interface StartBounds {
  readonly lagMs: number;
  /** Latency target of the route. */
  readonly targetMs: number;
  /** Time until the deadline. */
  readonly remainingMs: number;
  /** Whether its target time has passed. */
  readonly isLate: boolean;
}

/** Lag above which new requests that can't start in time are refused. */
export const MAX_LAG_MS = 250;
const LAG_RETRY_AFTER_MS = 500;

/**
 * Returns the refusal of a new request by a lagging process; undefined if it is
 * accepted. A request has waited for up to the lag before it was read, and waits
 * as long again before it is sent.
 */
export function refuseWhileBehind(
  { lagMs, targetMs, remainingMs, isLate }: StartBounds,
): LocalResponse | undefined {
  if (lagMs <= MAX_LAG_MS) return undefined;
  const boundMs = isLate ? remainingMs : Math.min(targetMs, remainingMs);
  if (2 * lagMs < boundMs) return undefined;
  return {
    status: 503,
    message: `This process is ${
      Math.round(lagMs)
    } ms behind; the request was not run`,
    retryAfterMs: Math.min(LAG_RETRY_AFTER_MS, remainingMs / 3),
  };
}
