import { Effect } from "effect";
import { steadyMs } from "../clock/index.ts";
import type { AdmissionRefusal } from "./admission/index.ts";
import type { AttemptProgress, AttemptsOptions } from "./attempt_progress.ts";
import { type ColdSearch, planColdWait } from "./cold_wait.ts";
import { type LimitedSearch, planLimitWait } from "./limit_wait.ts";
import type { ExclusionReason } from "./call_context.ts";
import type { QuarantineRefusal } from "./quarantine/index.ts";
import type { EndCause } from "./end_cause.ts";
import { createPool } from "./rate_limit/index.ts";
import { mustComplete } from "./begun_stream.ts";
import {
  chooseTarget,
  type ServingTarget,
  type TargetChoice,
} from "./choose_target.ts";
import { mustRelay } from "./choose_gateway.ts";
import { createChoice } from "./create_choice.ts";

/** Longest wait for a replica of the model, as a fraction of the target time. */
const MAX_WAIT_TARGET_FRACTION = 0.25;
/** Longest wait for a free slot, as a fraction of the target time. */
const MAX_FULL_WAIT_TARGET_FRACTION = 0.125;
/** Load, as a multiple of the slots, up to which a late request is still sent. */
const LATE_SLOTS_FACTOR = 1.5;
const POLL_INTERVAL_MS = 20;
/** The same for a begun stream, which waits until its deadline. */
const BEGUN_POLL_INTERVAL_MS = 50;
/** Interval at which a queued request checks whether the links are lost. */
const RELAY_POLL_INTERVAL_MS = 200;

/** The target of a request, or why there is none. */
export type TargetSearch =
  | { readonly kind: "found"; readonly target: ServingTarget }
  /** Every replica has more requests than it can start in time. */
  | { readonly kind: "full" }
  /** Every instance that could take it requested a back-off. */
  | { readonly kind: "backing-off"; readonly backoffMs: number }
  | ColdSearch
  | LimitedSearch
  /** No instance may get it, now or soon. */
  | { readonly kind: "barred"; readonly reason: ExclusionReason }
  /** Admission control refuses it, as it can't be sent before its deadline. */
  | { readonly kind: "refused"; readonly refusal: AdmissionRefusal }
  /** Its model has no replica, and the time until it has one is known. */
  | { readonly kind: "no-replica"; readonly retryAfterMs: number }
  /** The links are lost, and another process can serve it. */
  | { readonly kind: "relay" }
  /** It crashes instances, or a part of its prompt does. */
  | { readonly kind: "quarantined"; readonly refusal: QuarantineRefusal }
  | { readonly kind: "none" };

/** What a request without a target waits for. */
const AWAITED: Readonly<
  Record<Exclude<TargetSearch["kind"], "found" | "relay">, EndCause>
> = {
  "full": "full",
  "backing-off": "backing-off",
  "cold": "cold",
  "limited": "limited",
  "barred": "excluded",
  "refused": "queue",
  "no-replica": "no-replica",
  "quarantined": "quarantine",
  "none": "no-target",
};

/**
 * Waits for a target: in the model's queue while its concurrency limit is in
 * force, otherwise for a fraction of the target time. A stream that has begun
 * waits until its deadline, also for the trial of a held part.
 */
export function awaitTarget(
  options: AttemptsOptions,
  progress: AttemptProgress,
): Effect.Effect<TargetSearch> {
  const { call, dependencies: { admission, limits } } = options;
  const { targetMs, isStream } = call.route;
  return Effect.gen(function* (): Effect.fn.Return<TargetSearch> {
    let startedAtMs = yield* steadyMs;
    limits.noteSought(createPool(call), startedAtMs);
    while (true) {
      const nowMs = yield* steadyMs;
      if (mustRelay(options, progress, nowMs)) return { kind: "relay" };
      const quarantineRefusal = findQuarantineRefusal(options, progress, nowMs);
      if (quarantineRefusal !== undefined) {
        const mayAwaitTrial = quarantineRefusal.kind === "held" &&
          mustComplete(options);
        if (!mayAwaitTrial) {
          return { kind: "quarantined", refusal: quarantineRefusal };
        }
        progress.awaited = "quarantine";
        yield* Effect.sleep(BEGUN_POLL_INTERVAL_MS);
        continue;
      }
      const mustWait = isStream && !hasBegun(options, progress) &&
        admission.mustWait(call, nowMs);
      if (mustWait) {
        progress.awaited = "queue";
        const refusal = yield* Effect.raceFirst(
          admission.awaitTurn(call),
          awaitRelay(options, progress),
        );
        if (refusal !== undefined) return { kind: "refused", refusal };
        startedAtMs = yield* steadyMs;
        continue;
      }
      const search = searchTarget(options, progress, nowMs);
      if (search.kind === "relay") return search;
      if (search.kind === "found") {
        if (isStream) admission.noteStarted(call, nowMs);
        return search;
      }
      progress.awaited = AWAITED[search.kind];
      if (mustComplete(options)) {
        yield* Effect.sleep(BEGUN_POLL_INTERVAL_MS);
        continue;
      }
      if (search.kind === "barred" || search.kind === "no-replica") {
        return search;
      }
      if (search.kind === "cold" || search.kind === "limited") {
        if (search.pollAfterMs === undefined) return search;
        yield* Effect.sleep(search.pollAfterMs);
        continue;
      }
      if (search.kind === "backing-off" && !hasBegun(options, progress)) {
        return search;
      }
      const waitMs = targetMs *
        (search.kind === "full"
          ? MAX_FULL_WAIT_TARGET_FRACTION
          : MAX_WAIT_TARGET_FRACTION);
      if (nowMs - startedAtMs >= waitMs) return search;
      yield* Effect.sleep(POLL_INTERVAL_MS);
    }
  }).pipe(
    Effect.ensuring(
      Effect.sync(() =>
        options.dependencies.coldLimiter.leaveQueue(options.call)
      ),
    ),
  );
}

/** Waits until the request must be served through another process. */
function awaitRelay(
  options: AttemptsOptions,
  progress: AttemptProgress,
): Effect.Effect<undefined> {
  return Effect.gen(function* () {
    while (!mustRelay(options, progress, yield* steadyMs)) {
      yield* Effect.sleep(RELAY_POLL_INTERVAL_MS);
    }
    return undefined;
  });
}

/** Searches once; a stream that has begun is sent to full replicas as well. */
function searchTarget(
  options: AttemptsOptions,
  progress: AttemptProgress,
  nowMs: number,
): TargetSearch {
  const { call, dependencies } = options;
  const choice = createChoice(options, progress, nowMs);
  const target = chooseTarget(choice);
  if (target === undefined) return explainNoTarget(options, progress, choice);
  const skipsFullCheck = !call.route.isStream || hasBegun(options, progress) ||
    dependencies.admission.isAdmitted(call);
  if (skipsFullCheck) return { kind: "found", target };
  const work = dependencies.loads.estimateUpperBound(target.instanceId, nowMs);
  const maxWork = target.slots * (call.isLate ? LATE_SLOTS_FACTOR : 1);
  const isFull = work >= maxWork;
  return isFull ? { kind: "full" } : { kind: "found", target };
}

/**
 * Returns why the request, or a part of its prompt, forbids an attempt. A single
 * one that is held is let through where this process may try it; a stream that
 * has written for a while is harmless, whatever others of its parts did.
 */
function findQuarantineRefusal(
  { dependencies: { quarantine } }: AttemptsOptions,
  progress: AttemptProgress,
  nowMs: number,
): QuarantineRefusal | undefined {
  if (progress.runs.hasWritten) return undefined;
  const causes = progress.causes.listWatched(quarantine);
  const verdict = quarantine.assess(causes, nowMs);
  if (verdict.kind === "clear" || verdict.kind === "suspected") return;
  const isTrial = verdict.kind === "held" &&
    (progress.isTrial || quarantine.tryTakeTrial(causes, nowMs));
  progress.isTrial = isTrial;
  return isTrial ? undefined : verdict;
}

/** Whether a response to the caller has begun, or an attempt was made. */
function hasBegun(
  { exchange }: AttemptsOptions,
  progress: AttemptProgress,
): boolean {
  return exchange.hasStarted || progress.attempts.length > 0 ||
    progress.stream.lastEventId !== undefined;
}

/** Returns the delay until a model without a replica has one, if it is known. */
function findNoReplicaDelay(
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
  const { targets, isTried, isBackingOff, nowMs } = choice;
  const { call, dependencies: { backoffs, findExclusionReason } } = options;
  const reason = targets.length > 0
    ? undefined
    : findExclusionReason(call.service, call.homes);
  if (reason !== undefined) return { kind: "barred", reason };
  const noReplica = hasBegun(options, progress)
    ? undefined
    : findNoReplicaDelay(options, choice);
  if (noReplica !== undefined) return noReplica;
  const untried = targets.filter((target) => !isTried(target));
  const waiting = untried.filter(({ instanceId }) => !isBackingOff(instanceId));
  const { coldLimiter } = options.dependencies;
  const limited = waiting.filter((target) =>
    coldLimiter.maySend(target, nowMs)
  );
  if (limited.length > 0) return planLimitWait(options, limited, nowMs);
  if (waiting.length > 0) return planColdWait(options, waiting, nowMs);
  const backoffMs = backoffs.shortestBackoffMs(
    untried.map(({ instanceId }) => instanceId),
    nowMs,
  );
  return backoffMs > 0 ? { kind: "backing-off", backoffMs } : { kind: "none" };
}
