import { Clock, Effect } from "effect";
import { readSteadyMs, steadyMs } from "../clock/index.ts";
import { readConnections } from "../http/index.ts";
import {
  type AttemptProgress,
  type AttemptsOptions,
  type AttemptsResult,
  createProgress,
  describeOutcome,
  giveUp,
  isFalsePromise,
  mayAttemptAgain,
  mayRepeatAnswer,
  noteOutcome,
  refuseAsFull,
  refuseWhileBackingOff,
  refuseWhileCold,
  runOutOfTime,
  summarize,
} from "./attempt_progress.ts";
import { refuseInQueue, refuseWithoutReplica } from "./admission_refusals.ts";
import type { ResponseHeaders } from "./call.ts";
import type {
  AdmittedCall,
  ExclusionReason,
  ServingDependencies,
} from "./call_context.ts";
import type { ServingTarget } from "./choose_target.ts";
import type { StreamEvent } from "./event_splitter.ts";
import { awaitTarget, tryMove } from "./find_target.ts";
import { runAttempt } from "./run_attempt.ts";
import type { AttemptOutcome } from "./attempt_options.ts";

/** Least time left for which another attempt is worth it. */
const MIN_REMAINING_MS = 30;
/** Ranks by which a request that is late in any case lets others go first. */
const LATE_RANKS = 3;
const LAST_RANK = 9;

const BAR_MESSAGES: Readonly<Record<ExclusionReason, string>> = {
  evacuated: "Every zone that could serve the request is evacuated",
  "not-at-home": "No back end is in a region that the request may reach",
};

/** Attempts a call until it is answered, given up or out of time. */
export function runAttempts(
  options: AttemptsOptions,
): Effect.Effect<AttemptsResult> {
  const { call } = options;
  return Effect.gen(function* () {
    const progress = createProgress(call);
    const startedAtMs = yield* steadyMs;
    return yield* attemptUntilDone(options, progress).pipe(
      Effect.timeoutOrElse({
        duration: Math.max(1, call.deadlineAtMs - startedAtMs),
        orElse: () => Effect.sync(() => runOutOfTime(options, progress)),
      }),
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
      if (dependencies.lag.isBehind(yield* steadyMs)) yield* readConnections;
      const search = yield* awaitTarget(options, progress);
      if (search.kind === "full") return refuseAsFull(options, progress);
      if (search.kind === "backing-off") {
        return refuseWhileBackingOff(options, progress, search.backoffMs);
      }
      if (search.kind === "barred") {
        return giveUp(options, progress, BAR_MESSAGES[search.reason]);
      }
      if (search.kind === "cold") {
        const nowMs = yield* steadyMs;
        return refuseWhileCold(options, progress, {
          waitMs: search.waitMs,
          nowMs,
        });
      }
      if (search.kind === "refused") {
        return refuseInQueue(options, progress, search.refusal.retryAfterMs);
      }
      if (search.kind === "no-replica") {
        return refuseWithoutReplica(options, progress, search.retryAfterMs);
      }
      if (search.kind === "none") {
        return giveUp(options, progress, "No back end can take the request");
      }
      const { target } = search;
      const nowMs = yield* steadyMs;
      const reason = findWithheldReason(options, nowMs);
      if (reason !== undefined) {
        return yield* withhold(options, progress, reason);
      }
      // Nothing is sent but by this line, so that cold instances keep their bound.
      if (!dependencies.coldLimiter.tryTake(target, nowMs)) continue;
      const isRepeat = progress.arrivals > 0;
      if (isRepeat && call.deadlineAtMs - nowMs < MIN_REMAINING_MS) {
        return giveUp(options, progress, "Too little time is left");
      }
      if (
        isRepeat && !progress.isNextPaid &&
        !dependencies.retryBudget.trySpend(call.service, nowMs)
      ) return giveUp(options, progress, "The budget of repeats is spent");
      progress.isNextPaid = false;
      const outcome = yield* attemptOnce(options, progress, target);
      const endedAtMs = yield* steadyMs;
      noteOutcome({ options, progress, target, outcome, nowMs: endedAtMs });
      if (outcome.kind === "not-run" && outcome.isWithheld) {
        const withheldReason = findWithheldReason(options, endedAtMs);
        if (withheldReason !== undefined) {
          return yield* withhold(options, progress, withheldReason);
        }
      }
      if (outcome.kind === "streamed") {
        return { kind: "streamed", ...summarize(progress) };
      }
      if (outcome.kind === "answered") {
        if (!mayRepeatAnswer(options, progress, outcome.head)) {
          if (isFalsePromise(call.route.retryPolicy, outcome.head)) {
            return giveUp(options, progress, describeOutcome(outcome));
          }
          const { head, body } = outcome;
          return { kind: "answered", head, body, ...summarize(progress) };
        }
        progress.failure = outcome;
      }
      if (!mayAttemptAgain(options, progress)) {
        return giveUp(options, progress, describeOutcome(outcome));
      }
    }
  });
}

/** Why a request is not to be sent any more, if so. */
function findWithheldReason(
  { call, exchange }: AttemptsOptions,
  nowMs: number,
): "left" | "deadline" | undefined {
  if (!exchange.hasCaller) return "left";
  return nowMs >= call.deadlineAtMs ? "deadline" : undefined;
}

function withhold(
  options: AttemptsOptions,
  progress: AttemptProgress,
  reason: "left" | "deadline",
): Effect.Effect<AttemptsResult> {
  options.dependencies.onWithheld(reason);
  return reason === "left"
    ? Effect.interrupt
    : Effect.succeed(runOutOfTime(options, progress));
}

function attemptOnce(
  options: AttemptsOptions,
  progress: AttemptProgress,
  target: ServingTarget,
): Effect.Effect<AttemptOutcome> {
  const { call, exchange, dependencies } = options;
  const { loads, stalls, paces, codec, queueWaits } = dependencies;
  const { instanceId, address, epoch } = target;
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => readSteadyMs(clock);
    const startedAtMs = nowMs();
    const model = call.head.model ?? "";
    let lastEventAtMs: number | undefined;
    let headAtMs: number | undefined;
    let isPaused = false;
    let wasPaused = false;
    progress.tried.add(instanceId);
    progress.currentId = instanceId;
    loads.noteSent(instanceId);
    const endWatch = call.route.isStream
      ? stalls.begin({
        instanceId,
        model,
        startedAtMs,
        hasStarted: () => headAtMs !== undefined,
        isPaused: () => isPaused,
        rank: () => rankOf(call, progress),
        tryMove: (reason) =>
          tryMove(options, progress, { reason, nowMs: nowMs() }),
      })
      : () => {};
    return yield* runAttempt({
      codec,
      address,
      method: call.head.method,
      target: call.head.target,
      headers: codec.encodeAttempt(call.head, {
        remainingMs: call.deadlineAtMs - startedAtMs,
        instanceId,
        bodyBytes: call.body.length,
        ...(call.route.isStream
          ? { priority: priorityOf(call, dependencies) }
          : {}),
        ...(call.tenant === undefined ? {} : { tenant: call.tenant }),
        ...(progress.lastEventId === undefined
          ? {}
          : { lastEventId: progress.lastEventId }),
      }),
      body: call.body,
      callId: call.head.id,
      agent: call.route.retryPolicy === "once"
        ? undefined
        : dependencies.agentFor(address),
      ...(progress.lastEventId === undefined
        ? {}
        : { lastEventId: progress.lastEventId }),
      onHead: (head) => {
        headAtMs = nowMs();
        noteHead({ call, dependencies, target, head, nowMs: headAtMs });
      },
      onProgress: () => stalls.noteProgress(instanceId, nowMs()),
      maySend: () => findWithheldReason(options, nowMs()) === undefined,
      onSent: () => progress.isCurrentSent = true,
      onStreamHead: (head) => {
        if (!exchange.hasStarted) exchange.startStream(head);
      },
      onEvent: (event: StreamEvent) => {
        const atMs = nowMs();
        progress.firstByteAtMs ??= atMs;
        // Events that come together hold no pause.
        if (lastEventAtMs !== undefined && atMs > lastEventAtMs) {
          const pauseMs = atMs - lastEventAtMs;
          paces.notePause({ instanceId, epoch, model, pauseMs, nowMs: atMs });
        }
        lastEventAtMs = atMs;
        if (event.id !== undefined) progress.lastEventId = event.id;
        return exchange.writeEvent(event.bytes);
      },
      awaitReceiver: (onReady) => {
        isPaused = true;
        wasPaused = true;
        exchange.awaitCaller(() => {
          isPaused = false;
          // The pause was the caller's, not the instance's.
          lastEventAtMs = undefined;
          stalls.noteProgress(instanceId, nowMs());
          onReady();
        });
      },
      held: dependencies.held,
      onAbandonable: (abandon) => progress.abandon = abandon,
    }).pipe(
      Effect.tap(({ kind }) =>
        Effect.sync(() => {
          const isMeasured = kind === "streamed" && !wasPaused;
          if (!isMeasured || headAtMs === undefined) return;
          queueWaits.noteServed(model, nowMs() - headAtMs);
        })
      ),
      Effect.ensuring(Effect.sync(() => {
        loads.noteEnded(instanceId);
        endWatch();
      })),
    );
  });
}

interface NotedHead {
  readonly call: AdmittedCall;
  readonly dependencies: ServingDependencies;
  readonly target: ServingTarget;
  readonly head: ResponseHeaders;
  readonly nowMs: number;
}

/** Takes note of what an answer's head tells of its instance. */
function noteHead(
  { call, dependencies, target, head, nowMs }: NotedHead,
): void {
  const { instanceId } = target;
  const { loads, backoffs, onBackoff, onMalformedHeaders: onMalformedHead } =
    dependencies;
  if (head.isLeaving) dependencies.noteLeaving(target);
  if (head.load !== undefined) loads.noteLoad(instanceId, head.load, nowMs);
  dependencies.admission.noteResponseHeaders(call, head, nowMs);
  if (head.backoffMs !== undefined) {
    const backoffMs = backoffs.noteBackoff(instanceId, head.backoffMs, nowMs);
    onBackoff({ instanceId, askedMs: head.backoffMs, backoffMs });
  }
  if (head.malformed !== undefined) onMalformedHead(instanceId, head.malformed);
}

/** Rank among those that move; what callers already have goes first. */
function rankOf({ priority }: AdmittedCall, progress: AttemptProgress): number {
  const hasEvents = progress.lastEventId !== undefined;
  return (hasEvents ? LAST_RANK + 1 : 0) - priority;
}

/** Rank among the requests that wait at a replica; 0 goes first. */
function priorityOf(
  call: AdmittedCall,
  { admission }: ServingDependencies,
): number {
  const isLate = call.isLate || admission.isLate(call);
  return Math.min(LAST_RANK, call.priority + (isLate ? LATE_RANKS : 0));
}
