import { Clock, Effect } from "effect";
import { readSteadyMs } from "../clock/index.ts";
import {
  type AttemptProgress,
  type AttemptsOptions,
  noteEventTime,
} from "./attempt_progress.ts";
import { AttemptTiming } from "./attempt_timing.ts";
import type { ResponseHeaders } from "./call.ts";
import type { AdmittedCall, ServingDependencies } from "./call_context.ts";
import type { ServingTarget } from "./choose_target.ts";
import { type AttemptOutcome, runAttempt } from "./exchange/index.ts";
import { AttemptWatch } from "./quarantine/index.ts";
import { createPool } from "./rate_limit/index.ts";
import { nameReplica } from "./replica_runs.ts";
import { tryMove } from "./try_move.ts";

/** Priority levels by which a request is lowered that can only be late. */
const LATE_PRIORITY_PENALTY = 3;
const LOWEST_PRIORITY = 9;

/** How an attempt at a target ended. */
export interface TargetOutcome {
  readonly outcome: AttemptOutcome;
  /** Whether it had written for a while, so that it does not harm the target. */
  readonly hasWritten: boolean;
  /** Whether the target was found alive after it lost the attempt. */
  readonly isAlive: boolean;
}

/** Sends a request to a target and forwards a stream's events to the caller. */
export function attemptOnce(
  options: AttemptsOptions,
  progress: AttemptProgress,
  target: ServingTarget,
): Effect.Effect<TargetOutcome> {
  const { call, exchange, dependencies } = options;
  const { loads, stalls, codec, prompts, links } = dependencies;
  const { instanceId, address } = target;
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => readSteadyMs(clock);
    const startedAtMs = nowMs();
    const model = call.headers.model ?? "";
    const timing = new AttemptTiming({
      ...dependencies,
      target,
      model,
      startedAtMs,
    });
    const watch = new AttemptWatch({
      ...dependencies,
      causes: progress.causes,
      isHarmless: progress.runs.hasWritten,
      isStream: call.route.isStream,
      target,
      startedAtMs,
    });
    progress.tried.set(instanceId, nameReplica(target));
    progress.currentInstanceId = instanceId;
    let hasFailed = false;
    let isAlive = false;
    const writer = progress.stream.open();
    const { lastEventId } = progress.stream;
    loads.noteSent(instanceId);
    links.noteSent(call.service, startedAtMs);
    const notePromptRead = prompts.add(
      instanceId,
      call.headers.promptTokens ?? 0,
    );
    const stopWatching = call.route.isStream
      ? stalls.watch({
        instanceId,
        model,
        startedAtMs,
        hasStarted: () => timing.hasHeaders,
        isPaused: () => timing.isPaused,
        rank: () => findMoveRank(call, progress),
        tryMove: (reason) =>
          tryMove(options, progress, { target, reason, nowMs: nowMs() }),
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
        ...(lastEventId === undefined ? {} : { lastEventId }),
      }),
      body: call.body,
      callId: call.headers.id,
      agent: call.route.retryPolicy === "once"
        ? undefined
        : dependencies.agentFor(address),
      onHeaders: (fields) => {
        timing.noteHeaders(nowMs());
        watch.noteHeaders(nowMs());
        noteHeaders({
          call,
          dependencies,
          target,
          fields,
          sentAtMs: startedAtMs,
          nowMs: nowMs(),
        });
      },
      onProgress: () => {
        stalls.noteProgress(instanceId, nowMs());
        links.noteHeard(call.service, nowMs());
      },
      maySend: () => findWithheldReason(options, nowMs()) === undefined,
      onSent: () => {
        progress.isCurrentSent = true;
        watch.noteSent(nowMs());
      },
      onStreamHeaders: (headers) => writer.start(headers),
      lastEventId: () => progress.stream.lastEventId,
      onEvent: (event) => {
        const result = writer.write(event);
        if (result === "closed") {
          dependencies.onLateEvent({
            callId: call.headers.id,
            instanceId,
            ...(event.id === undefined ? {} : { eventId: event.id }),
          });
        } else if (result !== "out-of-order") {
          notePromptRead();
          timing.noteEvent(nowMs());
          watch.noteEvent(nowMs());
          noteEventTime(progress, nowMs());
        }
        return result;
      },
      awaitDrain: (onReady) => {
        timing.notePaused();
        exchange.awaitDrain(() => {
          timing.noteResumed();
          progress.lastEventAtMs = undefined;
          stalls.noteProgress(instanceId, nowMs());
          onReady();
        });
      },
      held: dependencies.held,
      onEnd: () => writer.close(),
      registerAbandon: (abandon) => progress.abandon = abandon,
    }).pipe(
      Effect.tap((outcome) =>
        Effect.gen(function* () {
          const lostAtMs = nowMs();
          isAlive = watch.mayBeCrash(outcome) &&
            (yield* dependencies.aliveCheck.isAlive(target));
          watch.noteOutcome(outcome, { nowMs: lostAtMs, isAlive });
          hasFailed = hasLostConnection(outcome);
          if (outcome.kind === "streamed") timing.noteStreamed(nowMs());
        })
      ),
      Effect.map((outcome) => ({
        outcome,
        hasWritten: watch.isSafe,
        isAlive,
      })),
      Effect.ensuring(Effect.sync(() => {
        watch.end();
        loads.noteEnded(instanceId);
        links.noteEnded(call.service, { hasFailed, nowMs: nowMs() });
        notePromptRead();
        stopWatching();
      })),
    );
  });
}

/** Whether an attempt got no connection, or lost it. */
function hasLostConnection(outcome: AttemptOutcome): boolean {
  if (outcome.kind === "lost") return outcome.abandonReason === undefined;
  return outcome.kind === "not-run" && !outcome.isRejected &&
    outcome.isWithheld !== true;
}

/** Why a request must not be sent any more; undefined if it may be. */
export function findWithheldReason(
  { call, exchange }: AttemptsOptions,
  nowMs: number,
): "left" | "deadline" | undefined {
  if (!exchange.isCallerConnected) return "left";
  return nowMs >= call.deadlineAtMs ? "deadline" : undefined;
}

interface ReceivedHeaders {
  readonly call: AdmittedCall;
  readonly dependencies: ServingDependencies;
  readonly target: ServingTarget;
  readonly fields: ResponseHeaders;
  readonly sentAtMs: number;
  readonly nowMs: number;
}

/** Records what the header fields of a response report about its instance. */
function noteHeaders(
  { call, dependencies, target, fields, sentAtMs, nowMs }: ReceivedHeaders,
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
  const { limitPerSecond: perSecond } = fields;
  if (perSecond !== undefined || !fields.hasLimit) {
    const pool = createPool(call);
    const response = { target, pool, perSecond, sentAtMs };
    dependencies.limits.noteResponse(response, nowMs);
  }
  if (fields.malformed !== undefined) onMalformed(instanceId, fields.malformed);
}

/** Rank among the attempts to move; streams that have sent events go first. */
function findMoveRank(
  { priority }: AdmittedCall,
  progress: AttemptProgress,
): number {
  const hasEvents = progress.stream.lastEventId !== undefined;
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
