import { Clock, Effect } from "effect";
import { readSteadyMs, steadyMs } from "../clock/index.ts";
import type { AnswerHead } from "./call.ts";
import type { CallerExchange, OwnAnswer } from "./caller_exchange.ts";
import { chooseTarget, type ServingTarget } from "./choose_target.ts";
import type { StreamEvent } from "./event_splitter.ts";
import {
  type AbandonReason,
  type AttemptOutcome,
  runAttempt,
} from "./run_attempt.ts";
import type { AdmittedCall, ServingDependencies } from "./serve_call.ts";
import type { Repeatability } from "./serving_config.ts";

/** What became of all attempts of a call. */
export type AttemptsResult =
  & {
    /** Instances that had the request, with what each came to. */
    readonly attempts: readonly string[];
    readonly firstByteAtMs?: number;
  }
  & (
    | {
      readonly kind: "answered";
      readonly head: AnswerHead;
      readonly body: Buffer;
    }
    | { readonly kind: "streamed" }
    | {
      readonly kind: "given-up";
      readonly own: OwnAnswer;
      readonly hasStarted: boolean;
    }
  );

/** What the attempts of one call work with. */
export interface AttemptsOptions {
  readonly call: AdmittedCall;
  readonly exchange: CallerExchange;
  readonly dependencies: ServingDependencies;
}

/** What is known of the call so far. */
interface Progress {
  readonly tried: Set<string>;
  readonly attempts: string[];
  /** Attempts that may have run. */
  runs: number;
  /** Whether any attempt may have run. */
  mayHaveRun: boolean;
  /** Whether an attempt met a connection that was dropped while idle. */
  hadStale: boolean;
  lastEventId: number | undefined;
  firstByteAtMs: number | undefined;
  /** A failure that an instance answered, if no later attempt does better. */
  failure: { readonly head: AnswerHead; readonly body: Buffer } | undefined;
  /** Ends the attempt under way; undefined when there is none. */
  abandon: ((reason: AbandonReason) => void) | undefined;
  /** Whether the budget was already charged for the next attempt. */
  isNextPaid: boolean;
}

/** Longest wait for a replica of the model, as a part of the target time. */
const WAIT_PART_OF_TARGET = 0.25;
const WAIT_STEP_MS = 20;
/** Time for which an instance that couldn't be reached is left alone. */
const AVOID_UNREACHABLE_MS = 1_000;
/** Time for which one that turned requests away is left alone. */
const AVOID_FULL_MS = 150;
/** Time for which one that stood still is left alone. */
const AVOID_STALLED_MS = 2_500;
const FULL_RETRY_MS = 400;
const NO_REPLICA_RETRY_MS = 800;
/** Least time left for which another attempt is worth it. */
const MIN_REMAINING_MS = 30;
/** Least time left for which a stream is moved off a slow replica. */
const MIN_MOVE_REMAINING_MS = 500;
const SERVER_ERROR_STATUS = 500;
/** Statuses that promise callers that a request did not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

/** Attempts a call until it is answered, given up or out of time. */
export function runAttempts(
  options: AttemptsOptions,
): Effect.Effect<AttemptsResult> {
  const { call } = options;
  return Effect.gen(function* () {
    const progress: Progress = {
      tried: new Set(),
      attempts: [],
      runs: 0,
      mayHaveRun: false,
      hadStale: false,
      lastEventId: call.head.resumeAfter,
      firstByteAtMs: undefined,
      failure: undefined,
      abandon: undefined,
      isNextPaid: false,
    };
    const startedAtMs = yield* steadyMs;
    return yield* attemptUntilDone(options, progress).pipe(
      Effect.timeoutOrElse({
        duration: Math.max(1, call.deadlineAtMs - startedAtMs),
        orElse: () =>
          Effect.sync(() =>
            giveUp(options, progress, "The request's time is over")
          ),
      }),
    );
  });
}

function attemptUntilDone(
  options: AttemptsOptions,
  progress: Progress,
): Effect.Effect<AttemptsResult> {
  const { call, dependencies } = options;
  return Effect.gen(function* () {
    while (true) {
      const target = yield* awaitTarget(options, progress);
      if (target === undefined) {
        return giveUp(options, progress, "No back end can take the request");
      }
      const nowMs = yield* steadyMs;
      const isRepeat = progress.attempts.length > 0;
      if (isRepeat && call.deadlineAtMs - nowMs < MIN_REMAINING_MS) {
        return giveUp(options, progress, "Too little time is left");
      }
      if (
        isRepeat && !progress.isNextPaid &&
        !dependencies.repeats.trySpend(call.service, nowMs)
      ) return giveUp(options, progress, "The budget of repeats is spent");
      progress.isNextPaid = false;
      const outcome = yield* attemptOnce(options, progress, target);
      const endedAtMs = yield* steadyMs;
      noteOutcome({ options, progress, target, outcome, nowMs: endedAtMs });
      if (outcome.kind === "streamed") {
        return { kind: "streamed", ...describe(progress) };
      }
      if (outcome.kind === "answered") {
        if (!mayRepeatAnswer(options, progress, outcome.head)) {
          if (isFalsePromise(call.route.repeatability, outcome.head)) {
            return giveUp(options, progress, describeOutcome(outcome));
          }
          const { head, body } = outcome;
          return { kind: "answered", head, body, ...describe(progress) };
        }
        progress.failure = outcome;
      }
      if (!mayAttemptAgain(options, progress)) {
        return giveUp(options, progress, describeOutcome(outcome));
      }
    }
  });
}

/** Waits shortly for a target, if there is none now. */
function awaitTarget(
  options: AttemptsOptions,
  progress: Progress,
): Effect.Effect<ServingTarget | undefined> {
  const { call } = options;
  return Effect.gen(function* () {
    const startedAtMs = yield* steadyMs;
    const waitUntilMs = startedAtMs +
      call.route.targetMs * WAIT_PART_OF_TARGET;
    while (true) {
      const nowMs = yield* steadyMs;
      const target = findTarget(options, progress, nowMs);
      if (target !== undefined || nowMs >= waitUntilMs) return target;
      yield* Effect.sleep(WAIT_STEP_MS);
    }
  });
}

function findTarget(
  { call, dependencies }: AttemptsOptions,
  progress: Progress,
  nowMs: number,
): ServingTarget | undefined {
  const { stalls, paces } = dependencies;
  return chooseTarget({
    targets: dependencies.listTargets(call.service, call.head.model),
    loads: dependencies.loads,
    zone: dependencies.zone,
    hasConnection: dependencies.hasConnection,
    isSilent: (id) => stalls.isSilent(id, nowMs),
    isSlow: (target) => paces.isSlow(target, nowMs),
    tried: progress.tried,
    nowMs,
    random: dependencies.random,
  });
}

/** Ends the attempt under way if another instance surely takes the request. */
function tryMove(
  options: AttemptsOptions,
  progress: Progress,
  nowMs: number,
): void {
  const { call, dependencies } = options;
  const { loads, stalls, paces, repeats } = dependencies;
  if (
    progress.abandon === undefined || !mayAttemptAfterThis(options, progress)
  ) {
    return;
  }
  if (call.deadlineAtMs - nowMs < MIN_MOVE_REMAINING_MS) return;
  const target = findTarget(options, progress, nowMs);
  if (target === undefined) return;
  const { instanceId, slots } = target;
  const isBetter = !paces.isSlow(target, nowMs) &&
    !stalls.isSilent(instanceId, nowMs) &&
    !loads.isAvoided(instanceId, nowMs) &&
    loads.estimate(instanceId, nowMs) < slots;
  if (!isBetter || !repeats.trySpend(call.service, nowMs)) return;
  progress.isNextPaid = true;
  progress.abandon("slow");
}

function attemptOnce(
  options: AttemptsOptions,
  progress: Progress,
  target: ServingTarget,
): Effect.Effect<AttemptOutcome> {
  const { call, exchange, dependencies } = options;
  const { loads, stalls, paces, codec } = dependencies;
  const { instanceId, address, epoch } = target;
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => readSteadyMs(clock);
    const startedAtMs = nowMs();
    let lastEventAtMs: number | undefined;
    progress.tried.add(instanceId);
    loads.noteSent(instanceId);
    const endWatch = call.route.isStream
      ? stalls.begin({
        instanceId,
        startedAtMs,
        abandon: () => progress.abandon?.("stalled"),
        tryMove: () => tryMove(options, progress, nowMs()),
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
        ...(call.route.isStream ? { priority: call.priority } : {}),
        ...(call.tenant === undefined ? {} : { tenant: call.tenant }),
        ...(progress.lastEventId === undefined
          ? {}
          : { resumeAfter: progress.lastEventId }),
      }),
      body: call.body,
      callId: call.head.id,
      agent: call.route.repeatability === "once"
        ? undefined
        : dependencies.agentFor(address),
      ...(progress.lastEventId === undefined
        ? {}
        : { lastEventId: progress.lastEventId }),
      onHead: ({ load }) => {
        if (load !== undefined) loads.noteLoad(instanceId, load, nowMs());
      },
      onBytes: () => stalls.noteBytes(instanceId, nowMs()),
      onStreamHead: (head) => {
        if (!exchange.hasStarted) exchange.startStream(head);
      },
      onEvent: (event: StreamEvent) => {
        const atMs = nowMs();
        progress.firstByteAtMs ??= atMs;
        // Events that come together hold no pause.
        if (lastEventAtMs !== undefined && atMs > lastEventAtMs) {
          const pauseMs = atMs - lastEventAtMs;
          const model = call.head.model ?? "";
          paces.notePause({ instanceId, epoch, model, pauseMs, nowMs: atMs });
        }
        lastEventAtMs = atMs;
        exchange.writeEvent(event.bytes);
        if (event.id !== undefined) progress.lastEventId = event.id;
      },
      onAbandonable: (abandon) => progress.abandon = abandon,
    }).pipe(
      Effect.ensuring(Effect.sync(() => {
        loads.noteEnded(instanceId);
        endWatch();
      })),
    );
  });
}

interface NotedOutcome {
  readonly options: AttemptsOptions;
  readonly progress: Progress;
  readonly target: ServingTarget;
  readonly outcome: AttemptOutcome;
  readonly nowMs: number;
}

function noteOutcome(
  { options, progress, target, outcome, nowMs }: NotedOutcome,
): void {
  const { loads } = options.dependencies;
  const { instanceId, address } = target;
  progress.abandon = undefined;
  progress.attempts.push(`${instanceId} ${describeOutcome(outcome)}`);
  if (outcome.kind !== "not-run") progress.mayHaveRun = true;
  if (outcome.kind === "lost" && outcome.isStale && !progress.hadStale) {
    // The instance dropped the idle connection; a fresh one may do.
    progress.hadStale = true;
    progress.tried.delete(instanceId);
    options.dependencies.discardAgent(address);
    return;
  }
  if (outcome.kind !== "not-run") progress.runs += 1;
  if (outcome.kind === "not-run") {
    loads.avoidUntil(
      instanceId,
      nowMs + (outcome.isTurnedAway ? AVOID_FULL_MS : AVOID_UNREACHABLE_MS),
    );
  } else if (outcome.kind === "lost") {
    if (outcome.abandoned === "slow") return;
    options.dependencies.discardAgent(address);
    if (outcome.abandoned === "stalled") {
      loads.avoidUntil(instanceId, nowMs + AVOID_STALLED_MS);
    }
  }
  loads.noteOutcome(instanceId, {
    hasFailed: outcome.kind === "lost" ||
      (outcome.kind === "answered" &&
        outcome.head.status >= SERVER_ERROR_STATUS),
    nowMs,
  });
}

/** Whether a failure that an instance answered is worth another attempt. */
function mayRepeatAnswer(
  options: AttemptsOptions,
  progress: Progress,
  head: AnswerHead,
): boolean {
  return head.status >= SERVER_ERROR_STATUS &&
    mayAttemptAgain(options, progress);
}

/** Whether a status would tell the caller of a run request that it did not run. */
function isFalsePromise(
  repeatability: Repeatability,
  head: AnswerHead,
): boolean {
  return repeatability === "once" && NOT_RUN_STATUSES.includes(head.status);
}

function mayAttemptAgain(
  { call }: AttemptsOptions,
  progress: Progress,
): boolean {
  if (call.route.repeatability === "once" && progress.mayHaveRun) return false;
  return progress.runs < Math.max(1, call.route.maxAttempts);
}

/** Whether another attempt is allowed once the one under way has ended. */
function mayAttemptAfterThis(
  { call }: AttemptsOptions,
  progress: Progress,
): boolean {
  return call.route.repeatability !== "once" &&
    progress.runs + 1 < Math.max(1, call.route.maxAttempts);
}

function giveUp(
  { call, exchange }: AttemptsOptions,
  progress: Progress,
  message: string,
): AttemptsResult {
  if (progress.failure !== undefined && !exchange.hasStarted) {
    return {
      kind: "answered",
      ...progress.failure,
      ...describe(progress),
    };
  }
  const retryAfterMs = progress.attempts.length > 0
    ? FULL_RETRY_MS
    : NO_REPLICA_RETRY_MS;
  const isOver = message === "The request's time is over";
  const own: OwnAnswer = progress.mayHaveRun || progress.abandon !== undefined
    ? {
      status: isOver ? 504 : 502,
      message: `${message}; it may have run on ${call.service}`,
    }
    : {
      status: 503,
      message: `${message}; it was not run`,
      retryAfterMs,
    };
  return {
    kind: "given-up",
    own,
    hasStarted: exchange.hasStarted,
    ...describe(progress),
  };
}

function describe(progress: Progress) {
  const { attempts, firstByteAtMs } = progress;
  return firstByteAtMs === undefined
    ? { attempts }
    : { attempts, firstByteAtMs };
}

function describeOutcome(outcome: AttemptOutcome): string {
  switch (outcome.kind) {
    case "answered":
      return `answered ${outcome.head.status}`;
    case "streamed":
      return "streamed";
    default:
      return outcome.message;
  }
}
