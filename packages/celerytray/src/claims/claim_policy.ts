import type { EntrySettings } from "@celerytray/schema";
import { Data } from "effect";
import { type Either, Left, Right } from "purify-ts";

/** The settings of claims contradict each other. */
export class ClaimPolicyRejected
  extends Data.TaggedError("ClaimPolicyRejected")<{
    readonly message: string;
  }> {}

/** Time limits of claims; all processes must use the same. */
export interface ClaimPolicy {
  /** Age from which a key is refused. */
  readonly windowMs: number;
  readonly maxClockErrorMs: number;
  /** Time after a claim's append from which its call is no longer sent. */
  readonly dispatchMs: number;
  /** Maximum wait for a claim to be granted. */
  readonly timeoutMs: number;
  readonly undatedKeys: "refuse" | "accept";
}

/** The settings that make up a policy. */
export type ClaimPolicySettings = Required<
  Pick<
    EntrySettings,
    | "claimWindowMs"
    | "claimLogRetentionMs"
    | "claimDispatchMs"
    | "claimTimeoutMs"
    | "claimUndatedKeys"
    | "maxClockErrorMs"
  >
>;

/** Checks that window, retention, deadline and clock error are consistent. */
export function createClaimPolicy(
  settings: ClaimPolicySettings,
): Either<ClaimPolicyRejected, ClaimPolicy> {
  const problem = findProblem(settings);
  if (problem !== undefined) {
    return Left(new ClaimPolicyRejected({ message: problem }));
  }
  return Right({
    windowMs: settings.claimWindowMs,
    maxClockErrorMs: settings.maxClockErrorMs,
    dispatchMs: settings.claimDispatchMs,
    timeoutMs: settings.claimTimeoutMs,
    undatedKeys: settings.claimUndatedKeys,
  });
}

/** Time after its append for which a claim holds its key. */
export function findClaimLifetimeMs(
  policy: Pick<ClaimPolicy, "windowMs" | "maxClockErrorMs">,
): number {
  return policy.windowMs + policy.maxClockErrorMs;
}

function findProblem(settings: ClaimPolicySettings): string | undefined {
  const { claimWindowMs, claimDispatchMs, maxClockErrorMs } = settings;
  const minRetentionMs = claimWindowMs + 2 * maxClockErrorMs + claimDispatchMs;
  if (settings.claimLogRetentionMs < minRetentionMs) {
    return `--claim-log-retention-ms must be at least ${minRetentionMs}, which is --claim-window-ms, twice --max-clock-error-ms and --claim-dispatch-ms; keep records longer or shorten the window`;
  }
  if (claimDispatchMs <= 2 * maxClockErrorMs) {
    return `--claim-dispatch-ms must be more than ${
      2 * maxClockErrorMs
    }, which is twice --max-clock-error-ms; raise it or bound the clock error better`;
  }
  if (claimWindowMs <= claimDispatchMs) {
    return "--claim-window-ms must be more than --claim-dispatch-ms; raise it";
  }
  return undefined;
}
