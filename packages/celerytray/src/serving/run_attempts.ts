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
  summarize,
  wouldMisreportNotRun,
} from "./attempt_progress.ts";
import { concludeSearch } from "./conclude_search.ts";
import { mustRelay } from "./choose_gateway.ts";
import {
  giveUp,
  giveUpAfterLast,
  giveUpAtDeadline,
  giveUpAtStop,
} from "./conclude_call.ts";
import {
  giveUpForBudget,
  isTooLateToBegin,
  payRetry,
  withhold,
} from "./before_attempt.ts";
import { mustComplete } from "./begun_stream.ts";
import type { AttemptOutcome } from "./exchange/index.ts";
import type { ServingTarget } from "./choose_target.ts";
import { awaitTarget } from "./find_target.ts";
import { noteOutcome } from "./note_outcome.ts";
import { relayIfLinksAreLost } from "./relay_step.ts";

/** Time in which this process learns that a replica is being closed. */
const ORDER_NOTICE_MS = 300;
const ORDER_POLL_MS = 50;
/** Minimum remaining time for a retry. */
const MIN_RETRY_REMAINING_MS = 30;

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
      if (search.kind === "relay") continue;
      // The links may have been lost at the end of the search.
      if (mustRelay(options, progress, yield* steadyMs)) continue;
      if (search.kind !== "found") {
        return concludeSearch(options, progress, {
          search,
          nowMs: yield* steadyMs,
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
        if (mustComplete(options)) return yield* Effect.never;
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
      if (outcome.kind === "lost") {
        yield* noteOrderedEnd(options, progress, { ...ended, outcome, target });
      }
      if (!mayAttemptAgain(options, progress)) {
        return giveUpAfterLast(options, progress, describeOutcome(outcome));
      }
    }
  });
}

/**
 * Does not count a run that an order of this system has ended: its replica is
 * being closed, of which this process may learn a moment after its connection.
 */
function noteOrderedEnd(
  options: AttemptsOptions,
  { runs }: AttemptProgress,
  { outcome, hasWritten, target }: {
    readonly outcome: Extract<AttemptOutcome, { kind: "lost" }>;
    readonly hasWritten: boolean;
    readonly target: ServingTarget;
  },
): Effect.Effect<void> {
  const { call, dependencies } = options;
  const isMoved = outcome.abandonReason === "closing";
  return Effect.gen(function* () {
    if (!mustComplete(options) || !(hasWritten || isMoved)) return;
    const untilMs = (yield* steadyMs) + ORDER_NOTICE_MS;
    while (!isMoved && !dependencies.isClosing(target.instanceId)) {
      const isAllowed = runs.count < maxReplicas(call);
      if (isAllowed || (yield* steadyMs) >= untilMs) return;
      yield* Effect.sleep(ORDER_POLL_MS);
    }
    runs.noteOrdered();
  });
}
