import type { CallOutcome } from "@celerytray/schema";
import { Effect } from "effect";
import { createHash } from "node:crypto";
import { CallerError } from "./caller_error.ts";
import type { PlainAnswer, PlainOutcome } from "./plain_attempt.ts";
import { createUnansweredError } from "./plain_errors.ts";

const MAX_RECORDED_BODY_BYTES = 16 * 1024;

/** What is kept of an attempt, for callers that send its key again. */
export function toCallOutcome(outcome: PlainOutcome): CallOutcome {
  if (outcome.kind !== "answered") return { state: outcome.kind };
  const { status, body, headers } = outcome.answer;
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

/** The answer of an earlier call with the key, or why there is none. */
export function replayOutcome(
  outcome: CallOutcome,
): Effect.Effect<PlainAnswer, CallerError> {
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
        ? `The first call with this key ran and was answered ${status}; the answer (SHA-256 ${bodySha256}) was too large to keep, read it from the service`
        : "The outcome of the first call with this key is unknown; ask the service before a new key is used",
      outcome: state,
    }),
  );
}

/** The answer of an attempt, or the error that says what is known. */
export function toAnswer(
  outcome: PlainOutcome,
): Effect.Effect<PlainAnswer, CallerError> {
  if (outcome.kind === "answered") return Effect.succeed(outcome.answer);
  return Effect.fail(createUnansweredError(outcome.kind));
}
