import { Clock, Deferred, Effect } from "effect";
import { NOT_RUN_COST_REQUESTS } from "./attempt_plan.ts";
import type { CallerError } from "./caller_error.ts";
import type { PlainInstance } from "./forwarding_types.ts";
import type { PlainAnswer, PlainOutcome } from "./plain_attempt.ts";
import { allowAttempt, attemptOn, type PlainCall } from "./plain_call.ts";
import { createUnansweredError } from "./plain_errors.ts";

/**
 * Attempts the call on one instance after another until an answer arrives.
 * The next attempt starts when one fails, or beside one that takes long.
 */
export function callIdempotent(
  call: PlainCall,
): Effect.Effect<PlainAnswer, CallerError> {
  const delayMs = call.dependencies.hedgeDelays.get(call.serviceName)
    .delayMs(call.timeoutMs);
  return attemptInTurn(call, { costRequests: 0, delayMs }).pipe(
    Effect.mapError(() => createUnansweredError(call.plan.outcome)),
  );
}

interface Turn {
  readonly costRequests: number;
  readonly delayMs: number;
}

function attemptInTurn(
  call: PlainCall,
  turn: Turn,
): Effect.Effect<PlainAnswer, PlainOutcome | undefined> {
  return Effect.gen(function* () {
    const instance = yield* allowAttempt(call, turn.costRequests);
    if (instance === undefined) return yield* Effect.fail(undefined);
    const failed = yield* Deferred.make<PlainOutcome>();
    const attempt = Effect.flatMap(attemptOn(instance, call), (outcome) => {
      if (outcome.kind === "answered") return Effect.succeed(outcome.answer);
      Deferred.doneUnsafe(failed, Effect.succeed(outcome));
      return Effect.fail(outcome);
    });
    const whenFailed = Effect.map(
      Deferred.await(failed),
      ({ kind }) => kind === "not-run" ? NOT_RUN_COST_REQUESTS : 1,
    );
    const whenSlow = Effect.as(Effect.sleep(turn.delayMs), undefined);
    const next = Effect.gen(function* () {
      const failureCost = yield* Effect.raceFirst(whenFailed, whenSlow);
      const costRequests = failureCost ?? 1;
      const answer = yield* attemptInTurn(call, { ...turn, costRequests });
      if (failureCost === undefined) yield* noteSlow(instance, call);
      return answer;
    });
    return yield* Effect.race(attempt, next);
  });
}

/** Takes note of an instance that another one overtook. */
function noteSlow(
  instance: PlainInstance,
  call: PlainCall,
): Effect.Effect<void> {
  const { dependencies } = call;
  return Effect.map(Clock.currentTimeMillis, (nowMs) => {
    dependencies.failures.get(call.serviceName).noteFailure(
      instance.replicaId,
      nowMs,
    );
    dependencies.pools.discard(instance.address);
  });
}
