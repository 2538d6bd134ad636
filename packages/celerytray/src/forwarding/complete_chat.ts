import {
  type ChatCompletionRequest,
  type ModelService,
  validateChatCompletionRequest,
} from "@celerytray/schema";
import { Clock, Effect } from "effect";
import { type Either, Left, Right } from "purify-ts";
import type { SlotCall } from "../admission/index.ts";
import { findFirstValidationProblem, fromEither } from "../errors/index.ts";
import { createRoutingCall, type RoutingCall } from "../routing/index.ts";
import { AttemptPlan, NOT_RUN_COST_REQUESTS } from "./attempt_plan.ts";
import { CallerError } from "./caller_error.ts";
import { chooseBackend } from "./choose_backend.ts";
import type { CallContext, ForwardingDependencies } from "./call_context.ts";
import { CompletionSink } from "./completion_sink.ts";
import type { ReadyReplica } from "./forwarding_types.ts";
import { createRefusedError } from "./refused_error.ts";
import { runStreamAttempt } from "./stream_attempt.ts";
import type { AttemptOutcome } from "./stream_outcome.ts";

/**
 * Load, in requests, of a resumed attempt: it reads the prompt again but
 * regenerates no token.
 */
const RESUME_COST_REQUESTS = 0.25;
const DEFAULT_DEADLINE_MS = 30_000;
const DEFAULT_IDLE_TIMEOUT_MS = 10_000;
const NO_REPLICA_RETRY_MS = 2_000;

/** Serves a chat or text completion from one of its service's replicas. */
export function completeChat(
  context: CallContext,
  dependencies: ForwardingDependencies,
): Effect.Effect<void, CallerError> {
  return Effect.gen(function* () {
    const request = yield* fromEither(parseRequest(context.body));
    const target = yield* fromEither(findModelService(request, context));
    const sink = new CompletionSink({
      requestId: context.requestId,
      response: context.response,
      isStream: request.stream === true,
    });
    const body = JSON.stringify({ ...request, stream: true });
    const routingCall = createRoutingCall(request, {
      availabilityZone: dependencies.availabilityZone,
      service: target.service,
    });
    const deadlineAtMs = findDeadlineAtMs(request, { context, target });
    const plan = new AttemptPlan({
      budget: dependencies.budget,
      deadlineAtMs: () => sink.nextIndex > 0 ? Infinity : deadlineAtMs,
    });
    const attempts = runAttempts({
      context,
      dependencies,
      target,
      sink,
      body,
      plan,
      deadlineAtMs,
      routingCall,
    });
    const slotCall = createSlotCall(context, { target, routingCall });
    yield* dependencies.slots.run(slotCall, attempts).pipe(
      Effect.catchTag(
        "AdmissionRefused",
        (refused) => Effect.fail(createRefusedError(refused)),
      ),
    );
    yield* sink.finish();
  });
}

function createSlotCall(
  context: CallContext,
  options: { readonly target: ModelTarget; readonly routingCall: RoutingCall },
): SlotCall {
  const { firstTokenDeadlineMs, priority = 0 } = options.routingCall;
  return {
    service: options.target.name,
    organisationName: context.organisationName,
    weight: context.organisation.weight ?? 1,
    priority,
    arrivedAtMs: context.arrivedAtMs,
    ...(firstTokenDeadlineMs === undefined ? {} : { firstTokenDeadlineMs }),
  };
}

function parseRequest(
  body: Buffer,
): Either<CallerError, ChatCompletionRequest> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString("utf8"));
  } catch {
    return Left(
      createRequestError("The request body is not JSON; send a JSON object"),
    );
  }
  if (validateChatCompletionRequest(value)) {
    return Right(value as ChatCompletionRequest);
  }
  const problem = findFirstValidationProblem(validateChatCompletionRequest);
  return Left(createRequestError(`${problem?.field}: ${problem?.message}`));
}

interface ModelTarget {
  readonly name: string;
  readonly service: ModelService;
}

function findModelService(
  request: ChatCompletionRequest,
  context: CallContext,
): Either<CallerError, ModelTarget> {
  const name = request.model.split(":")[0]!;
  const service = context.config.services[name];
  const isAllowed = context.organisation.services.includes(name);
  if (service?.kind === "model" && isAllowed) return Right({ name, service });
  return Left(
    new CallerError({
      status: 404,
      type: "invalid_request_error",
      code: "model_not_found",
      message: `No model named ${
        name.slice(0, 64)
      } is available to your organisation; use one of ${
        listModels(context).join(", ")
      }`,
      outcome: "not-run",
    }),
  );
}

function listModels(context: CallContext): string[] {
  return context.organisation.services.filter((name) =>
    context.config.services[name]?.kind === "model"
  );
}

function findDeadlineAtMs(
  request: ChatCompletionRequest,
  call: { readonly context: CallContext; readonly target: ModelTarget },
): number {
  const deadlineMs = request.deadline_ms ??
    call.target.service.firstTokenDeadlineMs ?? DEFAULT_DEADLINE_MS;
  return call.context.arrivedAtMs + deadlineMs;
}

interface AttemptsOptions {
  readonly context: CallContext;
  readonly dependencies: ForwardingDependencies;
  readonly target: ModelTarget;
  readonly sink: CompletionSink;
  readonly body: string;
  readonly plan: AttemptPlan;
  /** Deadline of the first token. */
  readonly deadlineAtMs: number;
  readonly routingCall: RoutingCall;
}

/**
 * Attempts replicas until the response is complete; each resumes where the last
 * one stopped.
 */
function runAttempts(
  options: AttemptsOptions,
): Effect.Effect<void, CallerError> {
  const { plan, sink } = options;
  return Effect.gen(function* () {
    let costRequests = 0;
    while (true) {
      const nowMs = yield* Clock.currentTimeMillis;
      const replica = chooseReplica(options, nowMs);
      if (replica === undefined) break;
      if (plan.tryReserve(costRequests, nowMs).isLeft()) break;
      plan.triedIds.add(replica.replicaId);
      const outcome = yield* runAttempt(replica, options);
      switch (outcome.kind) {
        case "finished":
          return;
        case "rejected":
          return yield* createRequestError(outcome.message);
        case "undeliverable":
          return yield* createUndeliverableError(outcome.message);
        case "not-run":
          costRequests = NOT_RUN_COST_REQUESTS;
          break;
        case "cut":
          plan.noteOutcome(sink.nextIndex > 0 ? "ran" : "unknown");
          costRequests = RESUME_COST_REQUESTS;
      }
    }
    if (!sink.isComplete) return yield* createNoReplicaError(options);
  });
}

function chooseReplica(
  options: AttemptsOptions,
  nowMs: number,
): ReadyReplica | undefined {
  const { dependencies, target, plan, routingCall } = options;
  return chooseBackend(dependencies.listReadyReplicas(target.name), {
    dependencies,
    service: target.name,
    triedIds: plan.triedIds,
    call: routingCall,
    nowMs,
  });
}

function runAttempt(
  replica: ReadyReplica,
  options: AttemptsOptions,
): Effect.Effect<AttemptOutcome> {
  const { context, dependencies, sink, body } = options;
  return Effect.gen(function* () {
    const eventFields = {
      requestId: context.requestId,
      replicaId: replica.replicaId,
    };
    yield* dependencies.recordEvent("attempt.started", eventFields);
    dependencies.noteSent(replica.replicaId);
    const startedAtMs = yield* Clock.currentTimeMillis;
    const outcome = yield* runStreamAttempt({
      requestId: context.requestId,
      replica,
      body,
      sink,
      pools: dependencies.pools,
      idleTimeoutMs: findIdleTimeoutMs(options, startedAtMs),
    });
    const nowMs = yield* Clock.currentTimeMillis;
    noteOutcome(outcome, { replica, options, nowMs });
    const detail = "message" in outcome ? outcome.message : undefined;
    yield* dependencies.recordEvent(`attempt.${outcome.kind}`, {
      ...eventFields,
      ...(detail === undefined ? {} : { detail }),
    });
    return outcome;
  });
}

/** Leaves half of the time to the first token's deadline for another replica. */
function findIdleTimeoutMs(
  { target, sink, plan, deadlineAtMs }: AttemptsOptions,
  nowMs: number,
): number {
  const idleTimeoutMs = target.service.idleTimeoutMs ??
    DEFAULT_IDLE_TIMEOUT_MS;
  if (sink.nextIndex > 0 || plan.triedIds.size > 1) return idleTimeoutMs;
  return Math.min(idleTimeoutMs, (deadlineAtMs - nowMs) / 2);
}

function noteOutcome(
  outcome: AttemptOutcome,
  attempt: {
    readonly replica: ReadyReplica;
    readonly options: AttemptsOptions;
    readonly nowMs: number;
  },
): void {
  const { dependencies, target } = attempt.options;
  const { replicaId } = attempt.replica;
  const failures = dependencies.failures.get(target.name);
  const hasFailed = outcome.kind === "cut" || outcome.kind === "not-run";
  if (outcome.kind === "finished") failures.noteSuccess(replicaId);
  if (hasFailed) failures.noteFailure(replicaId, attempt.nowMs);
  dependencies.noteOutcome({
    service: target.name,
    replicaId,
    kind: hasFailed ? "failed" : "served",
  });
}

function createNoReplicaError(options: AttemptsOptions): CallerError {
  return new CallerError({
    status: 503,
    type: "server_error",
    code: "no_replica",
    message:
      `No replica of ${options.target.name} could serve the request; retry later`,
    outcome: options.plan.outcome,
    retryAfterMs: NO_REPLICA_RETRY_MS,
  });
}

function createUndeliverableError(message: string): CallerError {
  return new CallerError({
    status: 502,
    type: "server_error",
    code: "answer_undeliverable",
    message,
    outcome: "ran",
  });
}

function createRequestError(message: string): CallerError {
  return new CallerError({
    status: 400,
    type: "invalid_request_error",
    code: "invalid_request",
    message,
    outcome: "not-run",
  });
}
