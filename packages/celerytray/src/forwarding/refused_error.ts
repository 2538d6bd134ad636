import type { AdmissionRefused } from "../admission/index.ts";
import { CallerError } from "./caller_error.ts";

/** Creates the error of a request that was not admitted. */
export function createRefusedError(refused: AdmissionRefused): CallerError {
  const isRateLimit = refused.reason === "rate";
  return new CallerError({
    status: isRateLimit ? 429 : 503,
    type: isRateLimit ? "rate_limit_error" : "server_error",
    code: isRateLimit ? "rate_limit_exceeded" : "overloaded",
    message: refused.message,
    outcome: "not-run",
    retryAfterMs: refused.retryAfterMs,
  });
}
