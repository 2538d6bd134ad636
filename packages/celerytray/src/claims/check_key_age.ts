import { type Either, Left, Right } from "purify-ts";
import { ClaimKeyRefused } from "./claim_errors.ts";
import type { ClaimPolicy } from "./claim_policy.ts";

/** Refuses a key if a record of its earlier use may no longer be on the log. */
export function checkKeyAge(
  options: { readonly issuedAtMs: number | undefined; readonly nowMs: number },
  policy: ClaimPolicy,
): Either<ClaimKeyRefused, void> {
  const { issuedAtMs, nowMs } = options;
  if (issuedAtMs === undefined) {
    return policy.undatedKeys === "accept" ? Right(undefined) : Left(
      new ClaimKeyRefused({
        reason: "undated",
        message:
          "The idempotency key has no time of issue; send a UUID of version 7, or Unix milliseconds, a hyphen and your own text",
      }),
    );
  }
  if (nowMs - issuedAtMs > policy.windowMs) {
    return Left(
      new ClaimKeyRefused({
        reason: "too-old",
        message:
          "The idempotency key is too old to determine whether its call ran; ask the service before a new key is used",
      }),
    );
  }
  if (issuedAtMs - nowMs > policy.maxClockErrorMs) {
    return Left(
      new ClaimKeyRefused({
        reason: "in-future",
        message:
          "The idempotency key was issued in the future; correct the clock that issues keys",
      }),
    );
  }
  return Right(undefined);
}
