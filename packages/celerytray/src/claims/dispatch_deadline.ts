import type { ClaimPolicy } from "./claim_policy.ts";

/** One reading of both clocks of a process. */
export interface ClockReading {
  /** Unix time; jumps when the clock is set. */
  readonly wallMs: number;
  /** Never set, but may stop while the machine is suspended. */
  readonly monotonicMs: number;
}

/** Times of a granted claim. */
export interface DispatchDeadlineOptions {
  /** Reading taken before the claim was sent to the log. */
  readonly sentAt: ClockReading;
  /** Log service's clock, Unix time. */
  readonly claimedAtMs: number;
  readonly now: ClockReading;
}

/**
 * Whether the call of a granted claim may still be sent. The claim was
 * appended after `sentAt`, so either local clock alone bounds its age. The
 * log's time also bounds it if a local clock was set or stopped.
 */
export function isBeforeDispatchDeadline(
  options: DispatchDeadlineOptions,
  policy: Pick<ClaimPolicy, "dispatchMs" | "maxClockErrorMs">,
): boolean {
  const { sentAt, claimedAtMs, now } = options;
  const { dispatchMs, maxClockErrorMs } = policy;
  const monotonicAgeMs = now.monotonicMs - sentAt.monotonicMs;
  const wallAgeMs = now.wallMs - sentAt.wallMs;
  const logAgeMs = now.wallMs - claimedAtMs + maxClockErrorMs;
  return Math.max(monotonicAgeMs, wallAgeMs, logAgeMs) < dispatchMs;
}
