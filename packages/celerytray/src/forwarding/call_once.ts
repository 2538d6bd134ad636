import { Effect, Fiber } from "effect";
import { createHash } from "node:crypto";
import type { ClaimedCall, GrantedClaim } from "../claims/index.ts";
import { NOT_RUN_COST_REQUESTS } from "./attempt_plan.ts";
import type { CallerError } from "./caller_error.ts";
import type { PlainAnswer, PlainOutcome } from "./plain_attempt.ts";
import { allowAttempt, attemptOn, type PlainCall } from "./plain_call.ts";
import { createClaimError, toClaimCallerError } from "./plain_errors.ts";
import { replayOutcome, toAnswer, toCallOutcome } from "./plain_outcomes.ts";

const MAX_KEY_LENGTH = 255;

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
  const waitMs = call.timeoutMs;
  return Effect.uninterruptibleMask((restore) =>
    Effect.gen(function* () {
      const decision = yield* restore(claims.claim(claimed, { waitMs })).pipe(
        Effect.mapError(toClaimCallerError),
      );
      if (decision.kind === "done") {
        return yield* replayOutcome(decision.outcome);
      }
      const sending = yield* Effect.forkDetach(
        sendGranted(call, { claimed, granted: decision }),
      );
      return yield* restore(Fiber.join(sending));
    })
  );
}

/** Goes on without its caller, so that the outcome is recorded. */
function sendGranted(
  call: PlainCall,
  options: { readonly claimed: ClaimedCall; readonly granted: GrantedClaim },
): Effect.Effect<PlainAnswer, CallerError> {
  const { calls, claims } = call.dependencies;
  const { claimed, granted } = options;
  return Effect.gen(function* () {
    calls.begin();
    const outcome = yield* sendOnce(call, granted);
    yield* claims.recordOutcome(
      { key: claimed, claimRecordId: granted.claimRecordId },
      toCallOutcome(outcome),
    );
    return yield* toAnswer(outcome);
  }).pipe(Effect.ensuring(Effect.sync(() => calls.end())));
}

/** Sends the call; another instance gets it only if it surely did not run. */
function sendOnce(
  call: PlainCall,
  granted?: GrantedClaim,
): Effect.Effect<PlainOutcome> {
  return Effect.gen(function* () {
    let last: PlainOutcome = {
      kind: "not-run",
      message: "No instance is live",
    };
    while (last.kind === "not-run") {
      const instance = yield* allowAttempt(call, NOT_RUN_COST_REQUESTS);
      if (instance === undefined) return last;
      last = yield* attemptOn(instance, { ...call, ...granted });
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
