import { Effect } from "effect";
import { steadyMs } from "../clock/index.ts";
import { yieldToEventLoop } from "../http/index.ts";
import { attemptOnce, findWithheldReason } from "./attempt_once.ts";
import {
  type AttemptProgress,
  type AttemptsOptions,
  type AttemptsResult,
  createProgress,
  describeOutcome,
  maxReplicas,
  mayAttemptAgain,
  mayRetryResponse,
  noteOutcome,
  summarize,
  wouldMisreportNotRun,
} from "./attempt_progress.ts";
import type { ExclusionReason } from "./call_context.ts";
import { chooseGateway, mustRelay } from "./choose_gateway.ts";
import {
  giveUp,
  giveUpAfterLast,
  giveUpAtDeadline,
  giveUpAtStop,
  refuseAsFull,
  refuseBeforeTurn,
  refuseForQuarantine,
  refuseInQueue,
  refuseWhileBackingOff,
  refuseWithoutReplica,
} from "./conclude_call.ts";
import type { ServingTarget } from "./choose_target.ts";
import { awaitTarget } from "./find_target.ts";
import { relayCall } from "./relay_call.ts";
import { findWaitingEnd } from "./begun_stream.ts";

/** Minimum remaining time for a retry. */
const MIN_RETRY_REMAINING_MS = 30;
/** Interval at which a stream that has begun asks the retry budget again. */
const RETRY_BUDGET_POLL_MS = 50;

const EXCLUSION_MESSAGES: Readonly<Record<ExclusionReason, string>> = {
  evacuated: "Every zone that could serve the request is evacuated",
  "not-at-home": "No back end is in a region that the request may reach",
};

/**
 * Attempts a call until it is answered or given up, its deadline has passed or
 * this process stops.
 */
export function runAttempts(
  options: AttemptsOptions,
): Effect.Effect<AttemptsResult> {
  const { call, dependencies } = options;
  return Effect.gen(function* () {
    const progress = createProgress(options);
    const startedAtMs = yield* steadyMs;
    return yield* attemptUntilDone(options, progress).pipe(
      Effect.timeoutOrElse({
        duration: Math.max(1, call.deadlineAtMs - startedAtMs),
        orElse: () => Effect.sync(() => giveUpAtDeadline(options, progress)),
      }),
      Effect.raceFirst(
        Effect.map(
          dependencies.stop.awaitEnd(),
          () => giveUpAtStop(options, progress),
        ),
      ),
      Effect.onInterrupt(() =>
        Effect.sync(() => options.onLeft(summarize(progress)))
      ),
    );
  });
}

function attemptUntilDone(
  options: AttemptsOptions,
  progress: AttemptProgress,
): Effect.Effect<AttemptsResult> {
  const { call, dependencies } = options;
  return Effect.gen(function* () {
    while (true) {
      if (dependencies.lag.isBehind(yield* steadyMs)) yield* yieldToEventLoop;
      const relayed = yield* relayIfLinksAreLost(options, progress);
      if (relayed.kind === "ended") return relayed.result;
      if (relayed.kind === "again") continue;
      const search = yield* awaitTarget(options, progress);
      // The links may have been lost during the search.
      if (mustRelay(options, progress, yield* steadyMs)) continue;
      if (search.kind === "full") return refuseAsFull(options, progress);
      if (search.kind === "backing-off") {
        return refuseWhileBackingOff(options, progress, search.backoffMs);
      }
      if (search.kind === "barred") {
        const message = EXCLUSION_MESSAGES[search.reason];
        return giveUp(options, progress, { cause: "excluded", message });
      }
      if (search.kind === "cold" || search.kind === "limited") {
        const { kind: cause, waitMs } = search;
        const nowMs = yield* steadyMs;
        return refuseBeforeTurn(options, progress, { cause, waitMs, nowMs });
      }
      if (search.kind === "quarantined") {
        dependencies.onWithheld("quarantine");
        return refuseForQuarantine(options, progress, search.refusal);
      }
      if (search.kind === "refused") {
        return refuseInQueue(options, progress, search.refusal.retryAfterMs);
      }
      if (search.kind === "no-replica") {
        return refuseWithoutReplica(options, progress, search.retryAfterMs);
      }
      if (search.kind === "none") {
        return giveUp(options, progress, {
          cause: "no-target",
          message: "No back end is available",
        });
      }
      const { target } = search;
      const nowMs = yield* steadyMs;
      const reason = findWithheldReason(options, nowMs);
      if (reason !== undefined) {
        return yield* withhold(options, progress, reason);
      }
      if (isTooLateToBegin(options, progress, nowMs)) {
        dependencies.onWithheld("stopping");
        return giveUpAtStop(options, progress);
      }
      const isRetry = progress.deliveries > 0;
      if (isRetry && call.deadlineAtMs - nowMs < MIN_RETRY_REMAINING_MS) {
        // A stream that has begun ends at its deadline, and not before.
        if (options.exchange.hasStarted) return yield* Effect.never;
        return giveUp(options, progress, {
          cause: "no-time",
          message: "Too little time remains for a retry",
        });
      }
      const payment = yield* payRetry(options, progress);
      if (payment === "exhausted") return giveUpForBudget(options, progress);
      if (payment === "again") continue;
      // Every request passes these checks, so that cold and limited instances
      // never get more than their limits.
      if (!dependencies.coldLimiter.tryTakeToken(target, nowMs)) continue;
      if (!dependencies.limits.tryTakeToken(target, nowMs)) continue;
      progress.isRetryPrepaid = false;
      progress.awaited = undefined;
      progress.isTrial = false;
      const ended = yield* attemptOnce(options, progress, target);
      const { outcome } = ended;
      const endedAtMs = yield* steadyMs;
      noteOutcome({ options, progress, target, ...ended, nowMs: endedAtMs });
      if (outcome.kind === "not-run" && outcome.isWithheld) {
        const withheldReason = findWithheldReason(options, endedAtMs);
        if (withheldReason !== undefined) {
          return yield* withhold(options, progress, withheldReason);
        }
      }
      if (outcome.kind === "streamed") {
        return { kind: "streamed", ...summarize(progress) };
      }
      // Any other response than a stream can't continue one that has begun.
      if (outcome.kind === "answered" && !options.exchange.hasStarted) {
        if (!mayRetryResponse(options, progress, outcome.headers)) {
          if (wouldMisreportNotRun(call.route.retryPolicy, outcome.headers)) {
            return giveUpAfterLast(
              options,
              progress,
              describeOutcome(outcome),
            );
          }
          const { headers, body } = outcome;
          return { kind: "answered", headers, body, ...summarize(progress) };
        }
        progress.failure = outcome;
      }
      if (ended.hasWritten && outcome.kind === "lost") {
        yield* forgetEndedRuns(options, progress, target);
      }
      if (!mayAttemptAgain(options, progress)) {
        return giveUpAfterLast(options, progress, describeOutcome(outcome));
      }
    }
  });
}

/**
 * Stops counting a replica that broke off, if its instance has ended, so that
 * another one may take its place.
 */
function forgetEndedRuns(
  { call, dependencies }: AttemptsOptions,
  { runs }: AttemptProgress,
  target: ServingTarget,
): Effect.Effect<void> {
  if (runs.count < maxReplicas(call)) return Effect.void;
  return Effect.map(dependencies.aliveCheck.isAlive(target), (isAlive) => {
    if (!isAlive) runs.noteEnded(target.instanceId);
  });
}

type RelayStep =
  /** This process's own links are to serve the request. */
  | { readonly kind: "own-links" }
  | { readonly kind: "again" }
  | { readonly kind: "ended"; readonly result: AttemptsResult };

/** Sends a request to another process while this one's own links are lost. */
function relayIfLinksAreLost(
  options: AttemptsOptions,
  progress: AttemptProgress,
): Effect.Effect<RelayStep> {
  const { dependencies } = options;
  return Effect.gen(function* (): Effect.fn.Return<RelayStep> {
    const nowMs = yield* steadyMs;
    const gateway = chooseGateway(options, progress, nowMs);
    if (gateway === undefined) return concludeWithoutGateway(options, progress);
    const reason = findWithheldReason(options, nowMs);
    if (reason !== undefined) {
      const result = yield* withhold(options, progress, reason);
      return { kind: "ended", result };
    }
    if (isTooLateToBegin(options, progress, nowMs)) {
      dependencies.onWithheld("stopping");
      return { kind: "ended", result: giveUpAtStop(options, progress) };
    }
    const payment = yield* payRetry(options, progress);
    if (payment === "exhausted") {
      return { kind: "ended", result: giveUpForBudget(options, progress) };
    }
    if (payment === "again") return { kind: "again" };
    progress.isRetryPrepaid = false;
    progress.awaited = undefined;
    const result = yield* relayCall(options, progress, gateway);
    return result === undefined ? { kind: "again" } : { kind: "ended", result };
  });
}

/** Passes the refusal of the last gateway on, as the own links are lost. */
function concludeWithoutGateway(
  options: AttemptsOptions,
  progress: AttemptProgress,
): RelayStep {
  const { refusal, mayHaveRun } = progress;
  const { call, exchange, dependencies } = options;
  const isRefused = refusal !== undefined && !exchange.hasStarted &&
    dependencies.links.isLost(call.service);
  if (!isRefused) return { kind: "own-links" };
  if (mayHaveRun) {
    const { message } = refusal;
    const result = giveUp(options, progress, { cause: "gateway", message });
    return { kind: "ended", result };
  }
  const result: AttemptsResult = {
    kind: "given-up",
    cause: "gateway",
    response: refusal,
    hasStarted: false,
    ...summarize(progress),
  };
  return { kind: "ended", result };
}

/**
 * Charges the retry budget for the next attempt, if it is a retry and that was
 * not done. A stream that has begun asks again until its deadline.
 */
function payRetry(
  options: AttemptsOptions,
  progress: AttemptProgress,
): Effect.Effect<"paid" | "again" | "exhausted"> {
  const { call, dependencies: { retryBudget } } = options;
  return Effect.gen(function* () {
    if (progress.deliveries === 0) return "paid";
    const nowMs = yield* steadyMs;
    progress.isRetryPrepaid ||= retryBudget.trySpend(call.service, nowMs);
    if (progress.isRetryPrepaid) return "paid";
    if (nowMs >= (findWaitingEnd(options) ?? nowMs)) return "exhausted";
    progress.awaited = "retry-budget";
    yield* Effect.sleep(RETRY_BUDGET_POLL_MS);
    return "again";
  });
}

function giveUpForBudget(
  options: AttemptsOptions,
  progress: AttemptProgress,
): AttemptsResult {
  return giveUp(options, progress, {
    cause: "retry-budget",
    message: "The retry budget is exhausted",
  });
}

/** Whether a request that has reached no instance comes too late in a stop. */
function isTooLateToBegin(
  { call, dependencies }: AttemptsOptions,
  { deliveries }: AttemptProgress,
  nowMs: number,
): boolean {
  return deliveries === 0 && dependencies.stop.isTooLate(call, nowMs);
}

function withhold(
  options: AttemptsOptions,
  progress: AttemptProgress,
  reason: "left" | "deadline",
): Effect.Effect<AttemptsResult> {
  options.dependencies.onWithheld(reason);
  return reason === "left"
    ? Effect.interrupt
    : Effect.succeed(giveUpAtDeadline(options, progress));
}
