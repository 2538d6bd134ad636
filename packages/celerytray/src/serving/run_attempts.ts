import { Clock, Effect } from "effect";
import { readSteadyMs, steadyMs } from "../clock/index.ts";
import { yieldToEventLoop } from "../http/index.ts";
import {
  type AttemptProgress,
  type AttemptsOptions,
  type AttemptsResult,
  createProgress,
  describeOutcome,
  giveUp,
  giveUpAtDeadline,
  mayAttemptAgain,
  mayRetryResponse,
  noteEventTime,
  noteOutcome,
  refuseAsFull,
  refuseWhileBackingOff,
  refuseWhileCold,
  summarize,
  wouldMisreportNotRun,
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

/** Minimum remaining time for a retry. */
const MIN_RETRY_REMAINING_MS = 30;
/** Priority levels by which a request is lowered that can only be late. */
const LATE_PRIORITY_PENALTY = 3;
const LOWEST_PRIORITY = 9;

const EXCLUSION_MESSAGES: Readonly<Record<ExclusionReason, string>> = {
  evacuated: "Every zone that could serve the request is evacuated",
  "not-at-home": "No back end is in a region that the request may reach",
};

/** Attempts a call until it is answered, given up or past its deadline. */
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
        orElse: () => Effect.sync(() => giveUpAtDeadline(options, progress)),
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
      if (dependencies.lag.isBehind(yield* steadyMs)) yield* yieldToEventLoop;
      const search = yield* awaitTarget(options, progress);
      if (search.kind === "full") return refuseAsFull(options, progress);
      if (search.kind === "backing-off") {
        return refuseWhileBackingOff(options, progress, search.backoffMs);
      }
      if (search.kind === "barred") {
        return giveUp(options, progress, EXCLUSION_MESSAGES[search.reason]);
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
        return giveUp(options, progress, "No back end is available");
      }
      const { target } = search;
      const nowMs = yield* steadyMs;
      const reason = findWithheldReason(options, nowMs);
      if (reason !== undefined) {
        return yield* withhold(options, progress, reason);
      }
      // Every request passes this check, so that cold instances never get more
      // than their limit.
      if (!dependencies.coldLimiter.tryTakeToken(target, nowMs)) continue;
      const isRetry = progress.deliveries > 0;
      if (isRetry && call.deadlineAtMs - nowMs < MIN_RETRY_REMAINING_MS) {
        return giveUp(options, progress, "Too little time remains for a retry");
      }
      if (
        isRetry && !progress.isRetryPrepaid &&
        !dependencies.retryBudget.trySpend(call.service, nowMs)
      ) return giveUp(options, progress, "The retry budget is exhausted");
      progress.isRetryPrepaid = false;
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
        if (!mayRetryResponse(options, progress, outcome.headers)) {
          if (wouldMisreportNotRun(call.route.retryPolicy, outcome.headers)) {
            return giveUp(options, progress, describeOutcome(outcome));
          }
          const { headers, body } = outcome;
          return { kind: "answered", headers, body, ...summarize(progress) };
        }
        progress.failure = outcome;
      }
      if (!mayAttemptAgain(options, progress)) {
        return giveUp(options, progress, describeOutcome(outcome));
      }
    }
  });
}

/** Why a request must not be sent any more; undefined if it may be. */
function findWithheldReason(
  { call, exchange }: AttemptsOptions,
  nowMs: number,
): "left" | "deadline" | undefined {
  if (!exchange.isCallerConnected) return "left";
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
    : Effect.succeed(giveUpAtDeadline(options, progress));
}

function attemptOnce(
  options: AttemptsOptions,
  progress: AttemptProgress,
  target: ServingTarget,
): Effect.Effect<AttemptOutcome> {
  const { call, exchange, dependencies } = options;
  const { loads, stalls, paces, silences, codec, queueWaits, prompts } =
    dependencies;
  const { instanceId, address, epoch } = target;
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => readSteadyMs(clock);
    const startedAtMs = nowMs();
    const model = call.headers.model ?? "";
    let lastEventAtMs: number | undefined;
    let headersAtMs: number | undefined;
    let isPaused = false;
    let wasPaused = false;
    progress.tried.add(instanceId);
    progress.currentInstanceId = instanceId;
    loads.noteSent(instanceId);
    const notePromptRead = prompts.add(
      instanceId,
      call.headers.promptTokens ?? 0,
    );
    const stopWatching = call.route.isStream
      ? stalls.watch({
        instanceId,
        model,
        startedAtMs,
        hasStarted: () => headersAtMs !== undefined,
        isPaused: () => isPaused,
        rank: () => findMoveRank(call, progress),
        tryMove: (reason) =>
          tryMove(options, progress, { reason, nowMs: nowMs() }),
      })
      : () => {};
    return yield* runAttempt({
      codec,
      address,
      method: call.headers.method,
      target: call.headers.target,
      headers: codec.encodeAttempt(call.headers, {
        remainingMs: call.deadlineAtMs - startedAtMs,
        instanceId,
        bodyBytes: call.body.length,
        ...(call.route.isStream
          ? { priority: findPriority(call, dependencies) }
          : {}),
        ...(call.tenant === undefined ? {} : { tenant: call.tenant }),
        ...(progress.lastEventId === undefined
          ? {}
          : { lastEventId: progress.lastEventId }),
      }),
      body: call.body,
      callId: call.headers.id,
      agent: call.route.retryPolicy === "once"
        ? undefined
        : dependencies.agentFor(address),
      ...(progress.lastEventId === undefined
        ? {}
        : { lastEventId: progress.lastEventId }),
      onHeaders: (fields) => {
        headersAtMs = nowMs();
        noteHeaders({ call, dependencies, target, fields, nowMs: headersAtMs });
      },
      onProgress: () => stalls.noteProgress(instanceId, nowMs()),
      maySend: () => findWithheldReason(options, nowMs()) === undefined,
      onSent: () => progress.isCurrentSent = true,
      onStreamHeaders: (headers) => {
        if (!exchange.hasStarted) exchange.startStream(headers);
      },
      onEvent: (event: StreamEvent) => {
        const atMs = nowMs();
        notePromptRead();
        if (lastEventAtMs === undefined && !wasPaused) {
          const silentMs = atMs - startedAtMs;
          silences.note({ model, awaited: "first", silentMs });
        }
        // Events that arrive together have no measurable pause between them.
        if (lastEventAtMs !== undefined && atMs > lastEventAtMs) {
          const pauseMs = atMs - lastEventAtMs;
          paces.notePause({ instanceId, epoch, model, pauseMs, nowMs: atMs });
          silences.note({ model, awaited: "next", silentMs: pauseMs });
        }
        lastEventAtMs = atMs;
        noteEventTime(progress, atMs);
        if (event.id !== undefined) progress.lastEventId = event.id;
        return exchange.writeEvent(event.bytes);
      },
      awaitDrain: (onReady) => {
        isPaused = true;
        wasPaused = true;
        exchange.awaitDrain(() => {
          isPaused = false;
          // The caller caused this pause, not the instance.
          lastEventAtMs = undefined;
          progress.lastEventAtMs = undefined;
          stalls.noteProgress(instanceId, nowMs());
          onReady();
        });
      },
      held: dependencies.held,
      registerAbandon: (abandon) => progress.abandon = abandon,
    }).pipe(
      Effect.tap(({ kind }) =>
        Effect.sync(() => {
          const isMeasured = kind === "streamed" && !wasPaused;
          if (!isMeasured || headersAtMs === undefined) return;
          queueWaits.noteServed(model, nowMs() - headersAtMs);
        })
      ),
      Effect.ensuring(Effect.sync(() => {
        loads.noteEnded(instanceId);
        notePromptRead();
        stopWatching();
      })),
    );
  });
}

interface ReceivedHeaders {
  readonly call: AdmittedCall;
  readonly dependencies: ServingDependencies;
  readonly target: ServingTarget;
  readonly fields: ResponseHeaders;
  readonly nowMs: number;
}

/** Records what the header fields of a response report about its instance. */
function noteHeaders(
  { call, dependencies, target, fields, nowMs }: ReceivedHeaders,
): void {
  const { instanceId } = target;
  const { loads, backoffs, onBackoff, onMalformedHeaders: onMalformed } =
    dependencies;
  if (fields.isLeaving) dependencies.noteLeaving(target);
  if (fields.load !== undefined) loads.noteLoad(instanceId, fields.load, nowMs);
  dependencies.admission.noteResponseHeaders(call, fields, nowMs);
  if (fields.backoffMs !== undefined) {
    const backoffMs = backoffs.noteBackoff(instanceId, fields.backoffMs, nowMs);
    onBackoff({ instanceId, askedMs: fields.backoffMs, backoffMs });
  }
  if (fields.malformed !== undefined) onMalformed(instanceId, fields.malformed);
}

/** Rank among the attempts to move; streams that have sent events go first. */
function findMoveRank(
  { priority }: AdmittedCall,
  progress: AttemptProgress,
): number {
  const hasEvents = progress.lastEventId !== undefined;
  return (hasEvents ? LOWEST_PRIORITY + 1 : 0) - priority;
}

/** Priority among the requests that wait at a replica; 0 goes first. */
function findPriority(
  call: AdmittedCall,
  { admission }: ServingDependencies,
): number {
  const isLate = call.isLate || admission.isLate(call);
  return Math.min(
    LOWEST_PRIORITY,
    call.priority + (isLate ? LATE_PRIORITY_PENALTY : 0),
  );
}
