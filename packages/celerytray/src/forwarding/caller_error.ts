import { Data } from "effect";
import type { ServerResponse } from "node:http";

/** Whether a call without a response ran. */
export type CallOutcomeState = "not-run" | "ran" | "unknown";

/** The error types of the OpenAI-compatible error object. */
export type CallerErrorType =
  | "invalid_request_error"
  | "authentication_error"
  | "permission_error"
  | "rate_limit_error"
  | "server_error";

/** An error that is reported to the caller. */
export class CallerError extends Data.TaggedError("CallerError")<{
  /** HTTP status. */
  readonly status: number;
  readonly type: CallerErrorType;
  readonly code: string;
  readonly message: string;
  readonly outcome: CallOutcomeState;
  /** Delay before a retry; undefined when a retry would not help. */
  readonly retryAfterMs?: number;
}> {}

const MS_PER_SECOND = 1_000;

/** Creates the JSON text of the OpenAI-compatible error object. */
export function createErrorBody(error: CallerError): string {
  const { message, type, code, outcome, retryAfterMs } = error;
  return JSON.stringify({
    error: {
      message,
      type,
      code,
      param: null,
      outcome,
      ...(retryAfterMs === undefined ? {} : { retry_after_ms: retryAfterMs }),
    },
  });
}

/** Responds with an error; closes the connection if a response has begun. */
export function writeCallerError(
  response: ServerResponse,
  error: CallerError,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const body = createErrorBody(error);
  response.writeHead(error.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    "celerytray-outcome": error.outcome,
    ...createRetryHeaders(error.retryAfterMs),
  });
  response.end(body);
}

function createRetryHeaders(
  retryAfterMs: number | undefined,
): Record<string, string> {
  if (retryAfterMs === undefined) return {};
  const retryAfterSeconds = Math.max(
    1,
    Math.ceil(retryAfterMs / MS_PER_SECOND),
  );
  return { "retry-after": String(retryAfterSeconds) };
}
