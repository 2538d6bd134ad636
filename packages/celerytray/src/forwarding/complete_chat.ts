import {
  type ChatCompletionRequest,
  type ModelService,
  validateChatCompletionRequest,
} from "@celerytray/schema";
import { Effect } from "effect";
import { type Either, Left, Right } from "purify-ts";
import type { SlotCall } from "../admission/index.ts";
import { firstValidationMessage, fromEither } from "../errors/index.ts";
import { createRoutingCall, type RoutingCall } from "../routing/index.ts";
import { CallerError } from "./caller_error.ts";
import type { CallContext, ForwardingDependencies } from "./caller_handler.ts";
import { CompletionSink } from "./completion_sink.ts";
import type { ReadyReplica } from "./forwarding_types.ts";
import { createRefusedError } from "./refused_error.ts";
import { type AttemptOutcome, runStreamAttempt } from "./stream_attempt.ts";

const MAX_ATTEMPTS = 3;
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
    const attempts = runAttempts({
      context,
      dependencies,
      target,
      sink,
      body,
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
    return Left(createRequestError("The body is not JSON; send a JSON object"));
  }
  if (validateChatCompletionRequest(value)) {
    return Right(value as ChatCompletionRequest);
  }
  const problem = firstValidationMessage(validateChatCompletionRequest);
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
  const isOpen = context.organisation.services.includes(name);
  if (service?.kind === "model" && isOpen) return Right({ name, service });
  return Left(
    new CallerError({
      status: 404,
      type: "invalid_request_error",
      code: "model_not_found",
      message: `No model named ${
        name.slice(0, 64)
      } is open to you; use one of ${listModels(context).join(", ")}`,
      outcome: "not-run",
    }),
  );
}

function listModels(context: CallContext): string[] {
  return context.organisation.services.filter((name) =>
    context.config.services[name]?.kind === "model"
  );
}

interface AttemptsOptions {
  readonly context: CallContext;
  readonly dependencies: ForwardingDependencies;
  readonly target: ModelTarget;
  readonly sink: CompletionSink;
  readonly body: string;
  readonly routingCall: RoutingCall;
}

/** Tries replicas until the answer is whole; each resumes where the last stopped. */
function runAttempts(
  options: AttemptsOptions,
): Effect.Effect<void, CallerError> {
  return Effect.gen(function* () {
    const tried = new Set<string>();
    let last: AttemptOutcome | undefined;
    while (tried.size < MAX_ATTEMPTS) {
      const replica = chooseReplica(options, tried);
      if (replica === undefined) break;
      tried.add(replica.replicaId);
      last = yield* attemptOn(replica, options);
      if (last.kind === "finished") return;
      if (last.kind === "rejected") {
        return yield* createRequestError(last.message);
      }
    }
    return yield* createGivenUpError(last, options);
  });
}

function chooseReplica(
  options: AttemptsOptions,
  tried: ReadonlySet<string>,
): ReadyReplica | undefined {
  const { dependencies, target, routingCall } = options;
  return dependencies.router.choose(
    dependencies.listReadyReplicas(target.name),
    { ...routingCall, excludedIds: tried },
  );
}

function attemptOn(
  replica: ReadyReplica,
  options: AttemptsOptions,
): Effect.Effect<AttemptOutcome> {
  const { context, dependencies, target, sink, body } = options;
  return Effect.gen(function* () {
    const note = { requestId: context.requestId, replicaId: replica.replicaId };
    yield* dependencies.recordEvent("attempt.started", note);
    dependencies.noteSent(replica.replicaId);
    const outcome = yield* runStreamAttempt({
      requestId: context.requestId,
      replica,
      body,
      sink,
      agent: dependencies.agent,
      idleTimeoutMs: target.service.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
    });
    dependencies.noteOutcome({
      service: target.name,
      replicaId: replica.replicaId,
      kind: outcome.kind === "finished" || outcome.kind === "rejected"
        ? "served"
        : "failed",
    });
    const detail = "message" in outcome ? outcome.message : undefined;
    yield* dependencies.recordEvent(`attempt.${outcome.kind}`, {
      ...note,
      ...(detail === undefined ? {} : { detail }),
    });
    return outcome;
  });
}

function createGivenUpError(
  last: AttemptOutcome | undefined,
  options: AttemptsOptions,
): CallerError {
  const isUntouched = last === undefined || last.kind === "not-run";
  return new CallerError({
    status: 503,
    type: "server_error",
    code: "no_replica",
    message:
      `No replica of ${options.target.name} could serve the request; retry later`,
    outcome: isUntouched && options.sink.nextIndex === 0
      ? "not-run"
      : "unknown",
    retryAfterMs: NO_REPLICA_RETRY_MS,
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
