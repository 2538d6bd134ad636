import type { CallOutcome } from "@celerytray/schema";
import { Effect } from "effect";
import { createHash } from "node:crypto";
import { CallerError } from "./caller_error.ts";
import type { PlainAnswer, PlainOutcome } from "./plain_attempt.ts";
import {
  allowAttempt,
  attemptOn,
  NOT_RUN_COST_REQUESTS,
  type PlainCall,
} from "./plain_call.ts";
import {
  createClaimError,
  createUnansweredError,
  toClaimCallerError,
} from "./plain_errors.ts";

const MAX_KEY_LENGTH = 255;
const MAX_RECORDED_BODY_BYTES = 16 * 1024;

/** Sends the call at most once; with a key, only after its claim is granted. */
export function callOnce(
  call: PlainCall,
): Effect.Effect<PlainAnswer, CallerError> {
  const keys = call.context.request.headersDistinct["idempotency-key"];
  if (keys === undefined) {
    return Effect.flatMap(sendOnce(call), toAnswer);
  }
  const [key = ""] = keys;
  if (keys.length > 1 || key.length > MAX_KEY_LENGTH || key === "") {
    return Effect.fail(
      createClaimError({
        status: 400,
        code: "invalid_idempotency_key",
        message:
          `Send one Idempotency-Key of 1 to ${MAX_KEY_LENGTH} characters`,
      }),
    );
  }
  return callClaimed(call, key);
}

function callClaimed(
  call: PlainCall,
  key: string,
): Effect.Effect<PlainAnswer, CallerError> {
  const { claims } = call.dependencies;
  const claimed = {
    organisation: call.context.organisationName,
    service: call.serviceName,
    key,
    requestSha256: digestRequest(call),
  };
  return Effect.gen(function* () {
    const decision = yield* claims.claim(claimed).pipe(
      Effect.mapError(toClaimCallerError),
    );
    if (decision.kind === "done") return yield* replayOutcome(decision.outcome);
    const { claimRecordId } = decision;
    const outcome = yield* Effect.tap(
      sendOnce(call),
      (outcome) =>
        claims.recordOutcome(
          { key: claimed, claimRecordId },
          toCallOutcome(outcome),
        ),
    );
    return yield* toAnswer(outcome);
  }).pipe(
    // A caller who leaves must not keep the outcome from being recorded.
    Effect.uninterruptible,
  );
}

/** Sends the call; another instance gets it only if it surely did not run. */
function sendOnce(call: PlainCall): Effect.Effect<PlainOutcome> {
  return Effect.gen(function* () {
    let last: PlainOutcome = {
      kind: "not-run",
      message: "No instance is live",
    };
    while (last.kind === "not-run") {
      const instance = yield* allowAttempt(call, NOT_RUN_COST_REQUESTS);
      if (instance === undefined) return last;
      last = yield* attemptOn(instance, call);
    }
    return last;
  });
}

function digestRequest(call: PlainCall): string {
  const { context, path } = call;
  return createHash("sha256")
    .update(`${context.request.method}\n${path}\n`)
    .update(context.body)
    .digest("hex");
}

function toCallOutcome(outcome: PlainOutcome): CallOutcome {
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

function replayOutcome(
  outcome: CallOutcome,
): Effect.Effect<PlainAnswer, CallerError> {
  if (outcome.state === "ran" && outcome.status !== undefined) {
    return Effect.succeed({
      status: outcome.status,
      headers: outcome.contentType === undefined
        ? {}
        : { "content-type": outcome.contentType },
      body: Buffer.from(outcome.bodyBase64 ?? "", "base64"),
    });
  }
  return Effect.fail(
    new CallerError({
      status: 409,
      type: "invalid_request_error",
      code: "idempotency_key_spent",
      message: outcome.state === "not-run"
        ? "The first call with this key did not run; send it with a new key"
        : "The outcome of the first call with this key is unknown; ask the service before a new key is used",
      outcome: outcome.state,
    }),
  );
}

function toAnswer(
  outcome: PlainOutcome,
): Effect.Effect<PlainAnswer, CallerError> {
  if (outcome.kind === "answered") return Effect.succeed(outcome.answer);
  return Effect.fail(createUnansweredError(outcome.kind));
}
