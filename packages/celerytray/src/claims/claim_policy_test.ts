import { expect } from "earl";
import { it } from "node:test";
import { type ClaimPolicySettings, createClaimPolicy } from "./claim_policy.ts";
import { isBeforeDispatchDeadline } from "./dispatch_deadline.ts";
import { findKeyIssuedAtMs } from "./key_time.ts";

const CONSISTENT: ClaimPolicySettings = {
  claimWindowMs: 60_000,
  claimLogRetentionMs: 67_000,
  claimDispatchMs: 5_000,
  claimTimeoutMs: 1_000,
  claimUndatedKeys: "refuse",
  maxClockErrorMs: 1_000,
};

it("accepts only consistent settings of claims", () => {
  const isAccepted = (changes: Partial<ClaimPolicySettings>) =>
    createClaimPolicy({ ...CONSISTENT, ...changes }).isRight();
  expect(isAccepted({})).toEqual(true);
  expect(isAccepted({ claimLogRetentionMs: 66_999 })).toEqual(false);
  expect(isAccepted({ maxClockErrorMs: 1_001 })).toEqual(false);
  expect(isAccepted({ claimDispatchMs: 2_000 })).toEqual(false);
  expect(isAccepted({ claimWindowMs: 5_000 })).toEqual(false);
});

it("stops dispatch when the claim is too old by any clock", () => {
  const isInTime = (wallMs: number, monotonicMs: number, claimedAtMs = 0) =>
    isBeforeDispatchDeadline({
      sentAt: { wallMs: 0, monotonicMs: 0 },
      claimedAtMs,
      now: { wallMs, monotonicMs },
    }, { dispatchMs: 5_000, maxClockErrorMs: 1_000 });
  expect(isInTime(3_999, 4_999)).toEqual(true);
  expect(isInTime(0, 5_000)).toEqual(false);
  expect(isInTime(5_000, 0, 3_000)).toEqual(false);
  expect(isInTime(4_000, 0)).toEqual(false);
});

it("reads the time of issue from a key", () => {
  expect(findKeyIssuedAtMs("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")).toEqual(
    0x017f22e279b0,
  );
  expect(findKeyIssuedAtMs("1700000000000-booking")).toEqual(
    1_700_000_000_000,
  );
  expect(findKeyIssuedAtMs("booking-1")).toEqual(undefined);
});
