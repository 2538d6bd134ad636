import type { CallOutcome } from "@celerytray/schema";
import { Effect } from "effect";
import { createHash } from "node:crypto";
import { CallerError } from "./caller_error.ts";
import type { PlainOutcome, PlainResponse } from "./plain_attempt.ts";
import { createUnansweredError } from "./plain_errors.ts";

const MAX_RECORDED_BODY_BYTES = 16 * 1024;

/** Converts an attempt's outcome to the one recorded for retries with its key. */
export function toCallOutcome(outcome: PlainOutcome): CallOutcome {
  if (outcome.kind !== "answered") return { state: outcome.kind };
  const { status, body, headers } = outcome.response;
  const contentType = headers["content-type"];
  return {
    state: "ran",
    status,
    bodySha256: createHash("sha256").update(body).digest("hex"),
    ...(typeof contentType === "string" ? { contentType } : {}),
    ...(body.length > MAX_RECORDED_BODY_BYTES
      ? {}
      : { bodyBase64: body.toString("base64") }),
  };
}

/**
 * Returns the recorded response of an earlier call with the key, or the error
 * if there is none.
 */
export function replayOutcome(
  outcome: CallOutcome,
): Effect.Effect<PlainResponse, CallerError> {
  const { state, status, bodyBase64, bodySha256 } = outcome;
  if (state === "ran" && status !== undefined && bodyBase64 !== undefined) {
    return Effect.succeed({
      status,
      headers: outcome.contentType === undefined
        ? {}
        : { "content-type": outcome.contentType },
      body: Buffer.from(bodyBase64, "base64"),
    });
  }
  if (state === "ran" && status === undefined) {
    return Effect.fail(createUnansweredError("ran"));
  }
  return Effect.fail(
    new CallerError({
      status: 409,
      type: "invalid_request_error",
      code: state === "ran" ? "answer_not_kept" : "outcome_unknown",
      message: state === "ran"
        ? `The first call with this key ran with status ${status}; its response (SHA-256 ${bodySha256}) was too large to keep; read the result from the service`
        : "The outcome of the first call with this key is unknown; ask the service before a new key is used",
      outcome: state,
    }),
  );
}

/** Returns the response of an attempt, or the error that describes its outcome. */
export function toResponse(
  outcome: PlainOutcome,
): Effect.Effect<PlainResponse, CallerError> {
  if (outcome.kind === "answered") return Effect.succeed(outcome.response);
  return Effect.fail(createUnansweredError(outcome.kind));
}
