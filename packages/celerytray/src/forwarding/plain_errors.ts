import type { ClaimFailure } from "../claims/index.ts";
import { CallerError, type CallOutcomeState } from "./caller_error.ts";

const RETRY_AFTER_MS = 2_000;

/** Creates the error of a call without a complete response. */
export function createUnansweredError(outcome: CallOutcomeState): CallerError {
  switch (outcome) {
    case "ran":
      return new CallerError({
        status: 502,
        type: "server_error",
        code: "answer_lost",
        message:
          "The service ran the call, but its response is incomplete; check its state before a retry",
        outcome,
      });
    case "unknown":
      return new CallerError({
        status: 504,
        type: "server_error",
        code: "outcome_unknown",
        message:
          "The service did not respond and may have run the call; check its state before a retry",
        outcome,
      });
    case "not-run":
      return new CallerError({
        status: 503,
        type: "server_error",
        code: "no_instance",
        message: "No instance of the service could take the call; retry later",
        outcome,
        retryAfterMs: RETRY_AFTER_MS,
      });
  }
}

/** Converts the failure of a claim to the caller's error. */
export function toClaimCallerError(error: ClaimFailure): CallerError {
  const { message } = error;
  switch (error._tag) {
    case "ClaimKeyReused":
      return createClaimError({
        status: 422,
        code: "idempotency_key_reused",
        message,
      });
    case "ClaimKeyRefused":
      return new CallerError({
        status: 400,
        type: "invalid_request_error",
        code: "idempotency_key_refused",
        message,
        outcome: error.reason === "too-old" ? "unknown" : "not-run",
      });
    case "ClaimBusy":
    case "ClaimOutcomeUnknown":
      return new CallerError({
        status: 409,
        type: "invalid_request_error",
        code: error._tag === "ClaimBusy"
          ? "idempotency_key_in_use"
          : "outcome_unknown",
        message,
        outcome: "unknown",
        ...(error._tag === "ClaimBusy" ? { retryAfterMs: RETRY_AFTER_MS } : {}),
      });
    case "ClaimUnavailable":
      return new CallerError({
        status: 503,
        type: "server_error",
        code: "claim_unavailable",
        message,
        outcome: "not-run",
        retryAfterMs: error.retryAfterMs,
      });
  }
}

/** Creates the error of a call that is refused for its idempotency key. */
export function createClaimError(
  options: {
    readonly status: number;
    readonly code: string;
    readonly message: string;
  },
): CallerError {
  return new CallerError({
    ...options,
    type: "invalid_request_error",
    outcome: "not-run",
  });
}
