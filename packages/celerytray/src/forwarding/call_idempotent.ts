import { Clock, Deferred, Effect } from "effect";
import { NOT_RUN_COST_REQUESTS } from "./attempt_plan.ts";
import type { CallerError } from "./caller_error.ts";
import type { PlainInstance } from "./forwarding_types.ts";
import type { PlainOutcome, PlainResponse } from "./plain_attempt.ts";
import {
  chooseNextInstance,
  type PlainCall,
  runAttempt,
} from "./plain_call.ts";
import { createUnansweredError } from "./plain_errors.ts";

/**
 * Attempts the call on one instance after another until a response arrives.
 * The next attempt starts when the last one fails. If that takes longer than
 * the hedge delay, it starts as a hedge, in parallel.
 */
export function callIdempotent(
  call: PlainCall,
): Effect.Effect<PlainResponse, CallerError> {
  const delayMs = call.dependencies.hedgeDelays.get(call.serviceName)
    .delayMs(call.timeoutMs);
  return attemptWithHedging(call, { costRequests: 0, delayMs }).pipe(
    Effect.mapError(() => createUnansweredError(call.plan.outcome)),
  );
}

interface HedgedAttempt {
  readonly costRequests: number;
  readonly delayMs: number;
}

function attemptWithHedging(
  call: PlainCall,
  hedged: HedgedAttempt,
): Effect.Effect<PlainResponse, PlainOutcome | undefined> {
  return Effect.gen(function* () {
    const instance = yield* chooseNextInstance(call, hedged.costRequests);
    if (instance === undefined) return yield* Effect.fail(undefined);
    const failure = yield* Deferred.make<PlainOutcome>();
    const attempt = Effect.flatMap(runAttempt(instance, call), (outcome) => {
      if (outcome.kind === "answered") return Effect.succeed(outcome.response);
      Deferred.doneUnsafe(failure, Effect.succeed(outcome));
      return Effect.fail(outcome);
    });
    const whenFailed = Effect.map(
      Deferred.await(failure),
      ({ kind }) => kind === "not-run" ? NOT_RUN_COST_REQUESTS : 1,
    );
    const whenSlow = Effect.as(Effect.sleep(hedged.delayMs), undefined);
    const next = Effect.gen(function* () {
      const failureCost = yield* Effect.raceFirst(whenFailed, whenSlow);
      const costRequests = failureCost ?? 1;
      const response = yield* attemptWithHedging(call, {
        ...hedged,
        costRequests,
      });
      if (failureCost === undefined) yield* noteSlowInstance(instance, call);
      return response;
    });
    return yield* Effect.race(attempt, next);
  });
}

/** Records that a hedge on another instance answered before this instance. */
function noteSlowInstance(
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
