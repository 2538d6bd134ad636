import type { LocalResponse } from "./caller_exchange.ts";

/** How late this process does its work. */
export interface ProcessLag {
  /** Lag that lasts. */
  readonly lagMs: (nowMs: number) => number;
  /** Whether it was late within the last second. */
  readonly isBehind: (nowMs: number) => boolean;
}

/** A new request as far as its start is concerned. */
export interface StartBounds {
  readonly lagMs: number;
  /** Time within which an answer is of full use. */
  readonly targetMs: number;
  /** Time until the caller gives up. */
  readonly remainingMs: number;
  /** Whether its target time has passed. */
  readonly isLate: boolean;
}

/** Lag beyond which new requests that can't start in time are refused. */
export const MAX_LAG_MS = 250;
const LAG_RETRY_MS = 500;

/**
 * Why a process that is behind refuses a new request, if it does. A request
 * waited for up to the lag before it was read, and waits as long again before
 * it is sent.
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
    retryAfterMs: Math.min(LAG_RETRY_MS, remainingMs / 3),
  };
}
