import { Effect, Fiber } from "effect";
import { createHash } from "node:crypto";
import type { ClaimedCall, GrantedClaim } from "../claims/index.ts";
import { NOT_RUN_COST_REQUESTS } from "./attempt_plan.ts";
import type { CallerError } from "./caller_error.ts";
import type { PlainOutcome, PlainResponse } from "./plain_attempt.ts";
import {
  chooseNextInstance,
  type PlainCall,
  runAttempt,
} from "./plain_call.ts";
import { createClaimError, toClaimCallerError } from "./plain_errors.ts";
import { replayOutcome, toCallOutcome, toResponse } from "./plain_outcomes.ts";

const MAX_KEY_LENGTH = 255;

/**
 * Sends the call so that it runs at most once. With an idempotency key, it is
 * sent only after its claim is granted.
 */
export function callOnce(
  call: PlainCall,
): Effect.Effect<PlainResponse, CallerError> {
  const keys = call.context.request.headersDistinct["idempotency-key"];
  if (keys === undefined) {
    return Effect.flatMap(sendOnce(call), toResponse);
  }
  const [key = ""] = keys;
  if (keys.length > 1 || key.length > MAX_KEY_LENGTH || key === "") {
    return Effect.fail(
      createClaimError({
        status: 400,
        code: "invalid_idempotency_key",
        message:
          `Idempotency-Key is empty, too long or repeated; send one of 1 to ${MAX_KEY_LENGTH} characters`,
      }),
    );
  }
  return callClaimed(call, key);
}

function callClaimed(
  call: PlainCall,
  key: string,
): Effect.Effect<PlainResponse, CallerError> {
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
        sendClaimed(call, { claimed, granted: decision }),
      );
      return yield* restore(Fiber.join(sending));
    })
  );
}

/** Continues after its caller disconnects, so that the outcome is recorded. */
function sendClaimed(
  call: PlainCall,
  options: { readonly claimed: ClaimedCall; readonly granted: GrantedClaim },
): Effect.Effect<PlainResponse, CallerError> {
  const { calls, claims } = call.dependencies;
  const { claimed, granted } = options;
  return Effect.gen(function* () {
    calls.begin();
    const outcome = yield* sendOnce(call, granted);
    yield* claims.recordOutcome(
      { key: claimed, claimRecordId: granted.claimRecordId },
      toCallOutcome(outcome),
    );
    return yield* toResponse(outcome);
  }).pipe(Effect.ensuring(Effect.sync(() => calls.end())));
}

/** Sends the call; retries it on another instance only if it did not run. */
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
      const instance = yield* chooseNextInstance(call, NOT_RUN_COST_REQUESTS);
      if (instance === undefined) return last;
      last = yield* runAttempt(instance, { ...call, ...granted });
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
