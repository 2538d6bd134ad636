import { Effect } from "effect";
import { steadyMs } from "../clock/index.ts";
import type { AdmissionRefusal } from "./admission/index.ts";
import {
  type AttemptProgress,
  type AttemptsOptions,
  mayAttemptAfterThis,
} from "./attempt_progress.ts";
import type { AbandonReason } from "./stall_watch.ts";
import { type ColdSearch, planColdWait } from "./cold_wait.ts";
import type { ExclusionReason } from "./call_context.ts";
import {
  chooseTarget,
  isPreferred,
  type ServingTarget,
  type TargetChoice,
} from "./choose_target.ts";

/** Longest wait for a replica of the model, as a part of the target time. */
const WAIT_PART_OF_TARGET = 0.25;
/** Longest wait for a free place, as a part of the target time. */
const FULL_WAIT_PART_OF_TARGET = 0.125;
/** Work, in parts of the slots, up to which a late request still waits there. */
const LATE_PART = 1.5;
const WAIT_STEP_MS = 20;
/** Least time left for which a stream is moved off a slow replica. */
const MIN_MOVE_REMAINING_MS = 500;

/** Where a request may go next, or why nowhere. */
export type TargetSearch =
  | { readonly kind: "found"; readonly target: ServingTarget }
  /** Every replica has more work than it begins in time. */
  | { readonly kind: "full" }
  /** Every one that could take it asked for time. */
  | { readonly kind: "backing-off"; readonly backoffMs: number }
  /** None may get it, now or soon. */
  | ColdSearch
  | { readonly kind: "barred"; readonly reason: ExclusionReason }
  /** It can't be sent before its deadline. */
  | { readonly kind: "refused"; readonly refusal: AdmissionRefusal }
  /** Its model has no replica for a known time. */
  | { readonly kind: "no-replica"; readonly retryAfterMs: number }
  | { readonly kind: "none" };

/**
 * Waits for a target: in the queue of the model while its concurrency limit is
 * in force, otherwise shortly if there is none now.
 */
export function awaitTarget(
  options: AttemptsOptions,
  progress: AttemptProgress,
): Effect.Effect<TargetSearch> {
  const { call, dependencies: { admission } } = options;
  const { targetMs, isStream } = call.route;
  return Effect.gen(function* (): Effect.fn.Return<TargetSearch> {
    let startedAtMs = yield* steadyMs;
    while (true) {
      const nowMs = yield* steadyMs;
      const mustWait = isStream && !hasBegun(options, progress) &&
        admission.mustWait(call, nowMs);
      if (mustWait) {
        const refusal = yield* admission.awaitTurn(call);
        if (refusal !== undefined) return { kind: "refused", refusal };
        startedAtMs = yield* steadyMs;
        continue;
      }
      const search = searchTarget(options, progress, nowMs);
      if (search.kind === "found") {
        if (isStream) admission.noteStarted(call, nowMs);
        return search;
      }
      if (search.kind === "barred" || search.kind === "no-replica") {
        return search;
      }
      if (search.kind === "cold") {
        if (search.stepMs === undefined) return search;
        yield* Effect.sleep(search.stepMs);
        continue;
      }
      if (search.kind === "backing-off" && !hasBegun(options, progress)) {
        return search;
      }
      const waitMs = targetMs *
        (search.kind === "full"
          ? FULL_WAIT_PART_OF_TARGET
          : WAIT_PART_OF_TARGET);
      if (nowMs - startedAtMs >= waitMs) return search;
      yield* Effect.sleep(WAIT_STEP_MS);
    }
  }).pipe(
    Effect.ensuring(
      Effect.sync(() =>
        options.dependencies.coldLimiter.leaveWait(options.call)
      ),
    ),
  );
}

/** A stream that has begun goes wherever it can. */
function searchTarget(
  options: AttemptsOptions,
  progress: AttemptProgress,
  nowMs: number,
): TargetSearch {
  const { call, dependencies } = options;
  const choice = createChoice(options, progress, nowMs);
  const target = chooseTarget(choice);
  if (target === undefined) return explainNoTarget(options, progress, choice);
  const goesAnyway = !call.route.isStream || hasBegun(options, progress) ||
    dependencies.admission.isAdmitted(call);
  if (goesAnyway) return { kind: "found", target };
  const work = dependencies.loads.estimateUpperBound(target.instanceId, nowMs);
  const places = target.slots * (call.isLate ? LATE_PART : 1);
  const isFull = work >= places;
  return isFull ? { kind: "full" } : { kind: "found", target };
}

/** Whether an answer to the caller has begun, or an attempt was made. */
function hasBegun(
  { exchange }: AttemptsOptions,
  progress: AttemptProgress,
): boolean {
  return exchange.hasStarted || progress.attempts.length > 0 ||
    progress.lastEventId !== undefined;
}

/** When a model without a replica has one, if that is known. */
function findReplicaTime(
  { call, dependencies }: AttemptsOptions,
  { targets, nowMs }: TargetChoice,
): TargetSearch | undefined {
  if (targets.length > 0) return undefined;
  const { admission } = dependencies;
  const retryAfterMs = admission.refuseWithoutReplica(call, nowMs);
  return retryAfterMs === undefined
    ? undefined
    : { kind: "no-replica", retryAfterMs };
}

function explainNoTarget(
  options: AttemptsOptions,
  progress: AttemptProgress,
  choice: TargetChoice,
): TargetSearch {
  const { targets, tried, isBackingOff, nowMs } = choice;
  const { call, dependencies: { backoffs, findExclusionReason: findBar } } =
    options;
  const reason = targets.length > 0
    ? undefined
    : findBar(call.service, call.homes);
  if (reason !== undefined) return { kind: "barred", reason };
  const noReplica = hasBegun(options, progress)
    ? undefined
    : findReplicaTime(options, choice);
  if (noReplica !== undefined) return noReplica;
  const untried = targets.filter(({ instanceId }) => !tried.has(instanceId));
  const cold = untried.filter(({ instanceId }) => !isBackingOff(instanceId));
  if (cold.length > 0) return planColdWait(options, cold, nowMs);
  const backoffMs = backoffs.shortestBackoffMs(
    untried.map(({ instanceId }) => instanceId),
    nowMs,
  );
  return backoffMs > 0 ? { kind: "backing-off", backoffMs } : { kind: "none" };
}

function createChoice(
  { call, dependencies }: AttemptsOptions,
  progress: AttemptProgress,
  nowMs: number,
): TargetChoice {
  const { stalls, paces, backoffs } = dependencies;
  return {
    targets: dependencies.listTargets(
      call.service,
      call.head.model,
      call.homes,
    ),
    loads: dependencies.loads,
    zone: dependencies.zone,
    hasConnection: dependencies.hasConnection,
    isBackingOff: (id) => backoffs.isBackingOff(id, nowMs),
    maySend: (target) => dependencies.coldLimiter.maySend(target, nowMs),
    isSilent: (id) => stalls.isSilent(id, nowMs),
    isSlow: (target) => paces.isSlow(target, nowMs),
    tried: progress.tried,
    nowMs,
    random: dependencies.random,
  };
}

/** Ends the attempt under way if another instance surely takes the request; whether it did. */
export function tryMove(
  options: AttemptsOptions,
  progress: AttemptProgress,
  { reason, nowMs }: {
    readonly reason: AbandonReason;
    readonly nowMs: number;
  },
): boolean {
  const { call, dependencies } = options;
  if (
    progress.abandon === undefined || !mayAttemptAfterThis(options, progress)
  ) return false;
  if (call.deadlineAtMs - nowMs < MIN_MOVE_REMAINING_MS) return false;
  const choice: TargetChoice = {
    ...createChoice(options, progress, nowMs),
    // One token would let all requests of a head leave for the same instance.
    maySend: (target) => dependencies.coldLimiter.isWarm(target, nowMs),
  };
  const target = chooseTarget(choice);
  if (target === undefined || !isPreferred(target, choice)) return false;
  const { loads, retryBudget: repeats } = dependencies;
  const hasPlace = loads.estimate(target.instanceId, nowMs) < target.slots;
  if (reason === "slow" && !hasPlace) return false;
  // What was not sent is no repeat.
  if (progress.isCurrentSent || progress.arrivals > 0) {
    if (!repeats.trySpend(call.service, nowMs)) return false;
    progress.isNextPaid = true;
  }
  progress.abandon(reason);
  return true;
}
