import type { AdmissionRefused } from "../admission/index.ts";
import { CallerError } from "./caller_error.ts";

/** What a caller is told of a request that was not admitted. */
export function createRefusedError(refused: AdmissionRefused): CallerError {
  const isRate = refused.reason === "rate";
  return new CallerError({
    status: isRate ? 429 : 503,
    type: isRate ? "rate_limit_error" : "server_error",
    code: isRate ? "rate_limit_exceeded" : "overloaded",
    message: refused.message,
    outcome: "not-run",
    retryAfterMs: refused.retryAfterMs,
  });
}
