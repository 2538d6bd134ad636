import { hashText } from "../../routing/hash_text.ts";

/** Inputs of the retry delay of a refused caller. */
export interface RetryAfterInputs {
  readonly requestId: string;
  /** Time until the queue has capacity for the request. */
  readonly timeToCapacityMs: number;
  /** Time until the caller's deadline. */
  readonly remainingMs: number;
  /** Whether the caller was refused before. */
  readonly wasRefused: boolean;
}

const MIN_RETRY_AFTER_MS = 200;
/** Jitter in both directions, so that refused callers don't retry together. */
const JITTER_FRACTION = 0.25;
/** Callers honour Retry-After up to this fraction of their remaining time. */
const MAX_FRACTION_OF_REMAINING = 1 / 3;
/** A caller that was refused before has less time left for its last attempt. */
const REPEATED_REFUSAL_FACTOR = 0.5;
/** Retry-After has two decimals of a second. */
const HEADER_STEP_MS = 10;
const HASH_RANGE = 2 ** 32;

/** Delay after which a refused caller should retry. */
export function computeRetryAfterMs(
  { requestId, timeToCapacityMs, remainingMs, wasRefused }: RetryAfterInputs,
): number {
  const wantedMs = timeToCapacityMs *
    (wasRefused ? REPEATED_REFUSAL_FACTOR : 1);
  // The minimum gets jitter as well; dividing keeps results at or above it.
  const baseMs = MIN_RETRY_AFTER_MS / (1 - JITTER_FRACTION);
  const unitHash = hashText(requestId) / HASH_RANGE;
  const jitter = 1 + JITTER_FRACTION * (2 * unitHash - 1);
  return capRetryAfterMs(Math.max(baseMs, wantedMs) * jitter, remainingMs);
}

/** Retry delay for a model that gets a replica after an expected time. */
export function computeReplicaRetryAfterMs(
  timeToReplicaMs: number,
  remainingMs: number,
): number {
  return capRetryAfterMs(
    Math.max(MIN_RETRY_AFTER_MS, timeToReplicaMs),
    remainingMs,
  );
}

/** Caps a delay at what a caller honours, even below the minimum. */
function capRetryAfterMs(delayMs: number, remainingMs: number): number {
  const boundMs = Math.max(0, remainingMs * MAX_FRACTION_OF_REMAINING);
  // Rounded down, so that the delay never exceeds the cap.
  return Math.floor(Math.min(delayMs, boundMs) / HEADER_STEP_MS) *
    HEADER_STEP_MS;
}
