import { hashText } from "../../routing/hash_text.ts";

/** What the time of a refused caller's return depends on. */
export interface ReturnInputs {
  readonly requestId: string;
  /** Time until the queue would have room for the request. */
  readonly roomMs: number;
  /** Time until the caller gives up. */
  readonly remainingMs: number;
  readonly wasRefused: boolean;
}

const MIN_RETURN_MS = 200;
/** Spread to both sides, so that refused callers don't return together. */
const SPREAD_PART = 0.25;
/** Part of the remaining time up to which callers honour Retry-After. */
const MAX_PART_OF_REMAINING = 1 / 3;
/** A caller that was refused before has less time left for its last try. */
const REFUSED_FACTOR = 0.5;
const HEADER_STEP_MS = 10;
const HASH_RANGE = 2 ** 32;

/** Time after which a refused caller should come back. */
export function returnTimeMs(
  { requestId, roomMs, remainingMs, wasRefused }: ReturnInputs,
): number {
  const wantedMs = roomMs * (wasRefused ? REFUSED_FACTOR : 1);
  // The least time is spread too, and no result is below the minimum.
  const leastMs = MIN_RETURN_MS / (1 - SPREAD_PART);
  const chance = hashText(requestId) / HASH_RANGE;
  const spread = 1 + SPREAD_PART * (2 * chance - 1);
  return capReturnMs(Math.max(leastMs, wantedMs) * spread, remainingMs);
}

/** The same where the time until the model has a replica is expected. */
export function replicaReturnMs(
  expectedMs: number,
  remainingMs: number,
): number {
  return capReturnMs(Math.max(MIN_RETURN_MS, expectedMs), remainingMs);
}

/** Bounds a time by what a caller honours; this wins over every minimum. */
function capReturnMs(returnMs: number, remainingMs: number): number {
  const boundMs = Math.max(0, remainingMs * MAX_PART_OF_REMAINING);
  // Rounded down, as the header has two decimals of a second.
  return Math.floor(Math.min(returnMs, boundMs) / HEADER_STEP_MS) *
    HEADER_STEP_MS;
}
