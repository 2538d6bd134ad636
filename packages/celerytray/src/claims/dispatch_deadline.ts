import type { ClaimPolicy } from "./claim_policy.ts";

/** One reading of both clocks of a process. */
export interface ClockReading {
  /** Unix time; may be set. */
  readonly wallMs: number;
  /** Never set, but may stand still while the machine is suspended. */
  readonly monotonicMs: number;
}

/** What is known of a granted claim. */
export interface DispatchDeadlineOptions {
  /** Taken before the claim was sent to the log. */
  readonly sentAt: ClockReading;
  /** Log service's clock, Unix time. */
  readonly claimedAtMs: number;
  readonly now: ClockReading;
}

/**
 * Whether the call of a granted claim may still be sent. The claim was
 * appended after `sentAt`, so either local clock alone bounds its age; the
 * log's time bounds it also when a local clock was set or stood still.
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
