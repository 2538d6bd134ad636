import type { CallOutcome, PlainService } from "@celerytray/schema";
import { Clock, Deferred, Effect, Fiber } from "effect";
import { createHash } from "node:crypto";
import { Left, Right } from "purify-ts";
import type {
  ClaimedCall,
  ClaimFailure,
  GrantedClaim,
} from "../claims/index.ts";
import { fromEither } from "../errors/index.ts";
import { AttemptPlan } from "./attempt_plan.ts";
import { CallerError, type CallOutcomeState } from "./caller_error.ts";
import { chooseBackend } from "./choose_backend.ts";
import type { CallContext, ForwardingDependencies } from "./caller_handler.ts";
import type { PlainInstance } from "./forwarding_types.ts";
import { parseServicePath } from "./parse_service_path.ts";
import {
  type PlainAnswer,
  type PlainOutcome,
  runPlainAttempt,
} from "./plain_attempt.ts";

const DEFAULT_IDEMPOTENT_METHODS = ["GET", "HEAD", "OPTIONS"];
const DEFAULT_TIMEOUT_MS = 10_000;
/** Load of an attempt after one that did not run. */
const NOT_RUN_COST_REQUESTS = 0.1;
const RETRY_AFTER_MS = 2_000;
const MAX_KEY_LENGTH = 255;
const MAX_RECORDED_BODY_BYTES = 16 * 1024;

interface PlainCall {
  readonly context: CallContext;
  readonly dependencies: ForwardingDependencies;
  readonly serviceName: string;
  readonly service: PlainService;
  /** Path and query below /services/NAME. */
  readonly path: string;
  readonly timeoutMs: number;
  readonly deadlineAtMs: number;
  readonly plan: AttemptPlan;
}

const NOT_FOUND = new CallerError({
  status: 404,
  type: "invalid_request_error",
  code: "service_not_found",
  message: "No such service is open to you; check the name after /services/",
  outcome: "not-run",
});

/** Passes a call to a plain service; a non-idempotent one runs at most once. */
export function callPlainService(
  context: CallContext,
  dependencies: ForwardingDependencies,
): Effect.Effect<void, CallerError> {
  return Effect.gen(function* () {
    const call = yield* findCall(context, dependencies);
    const answer = yield* isIdempotent(call)
      ? callIdempotent(call)
      : callOnce(call);
    yield* Effect.sync(() => writeAnswer(context, answer));
  });
}

function findCall(
  context: CallContext,
  dependencies: ForwardingDependencies,
): Effect.Effect<PlainCall, CallerError> {
  const target = context.request.url ?? "/";
  return fromEither(
    parseServicePath(target).chain(({ serviceName, path }) => {
      const service = context.config.services[serviceName];
      const isOpen = context.organisation.services.includes(serviceName);
      if (service?.kind !== "plain" || !isOpen) return Left(NOT_FOUND);
      const timeoutMs = service.timeoutMs ?? DEFAULT_TIMEOUT_MS;
      const deadlineAtMs = context.arrivedAtMs + timeoutMs;
      return Right({
        context,
        dependencies,
        serviceName,
        service,
        path,
        timeoutMs,
        deadlineAtMs,
        plan: new AttemptPlan({
          budget: dependencies.budget,
          deadlineAtMs: () => deadlineAtMs,
        }),
      });
    }),
  );
}

function isIdempotent(call: PlainCall): boolean {
  const methods: readonly string[] = call.service.idempotentMethods ??
    DEFAULT_IDEMPOTENT_METHODS;
  return methods.includes(call.context.request.method ?? "");
}

/**
 * Attempts the call on one instance after another until an answer arrives.
 * The next attempt starts when one fails, or beside one that takes long.
 */
function callIdempotent(
  call: PlainCall,
): Effect.Effect<PlainAnswer, CallerError> {
  const delayMs = call.dependencies.hedgeDelays.get(call.serviceName)
    .delayMs(call.timeoutMs);
  return attemptInTurn(call, { costRequests: 0, delayMs }).pipe(
    Effect.mapError(() => createUnansweredError(call.plan.outcome)),
  );
}

interface Turn {
  readonly costRequests: number;
  readonly delayMs: number;
}

function attemptInTurn(
  call: PlainCall,
  turn: Turn,
): Effect.Effect<PlainAnswer, PlainOutcome | undefined> {
  return Effect.gen(function* () {
    const instance = yield* allowAttempt(call, turn.costRequests);
    if (instance === undefined) return yield* Effect.fail(undefined);
    const failed = yield* Deferred.make<PlainOutcome>();
    const attempt = Effect.flatMap(attemptOn(instance, call), (outcome) => {
      if (outcome.kind === "answered") return Effect.succeed(outcome.answer);
      Deferred.doneUnsafe(failed, Effect.succeed(outcome));
      return Effect.fail(outcome);
    });
    const whenFailed = Effect.map(
      Deferred.await(failed),
      ({ kind }) => kind === "not-run" ? NOT_RUN_COST_REQUESTS : 1,
    );
    const whenSlow = Effect.as(Effect.sleep(turn.delayMs), undefined);
    const next = Effect.gen(function* () {
      const failureCost = yield* Effect.raceFirst(whenFailed, whenSlow);
      const costRequests = failureCost ?? 1;
      const answer = yield* attemptInTurn(call, { ...turn, costRequests });
      if (failureCost === undefined) yield* noteSlow(instance, call);
      return answer;
    });
    return yield* Effect.race(attempt, next);
  });
}

/** Takes note of an instance that another one overtook. */
function noteSlow(
  instance: PlainInstance,
  call: PlainCall,
): Effect.Effect<void> {
  const { dependencies } = call;
  return Effect.map(Clock.currentTimeMillis, (nowMs) => {
    dependencies.failures.get(call.serviceName).noteFailure(
      instance.replicaId,
      nowMs,
    );
    dependencies.pools.discard(instance.address);
  });
}

/** Chooses an instance for one more attempt, if the plan allows one. */
function allowAttempt(
  call: PlainCall,
  costRequests: number,
): Effect.Effect<PlainInstance | undefined> {
  return Effect.map(Clock.currentTimeMillis, (nowMs) => {
    const instance = chooseInstance(call, nowMs);
    if (instance === undefined) return undefined;
    if (call.plan.allow(costRequests, nowMs).isLeft()) return undefined;
    call.plan.tried.add(instance.replicaId);
    return instance;
  });
}

/** Sends the call at most once; with a key, only after its claim is granted. */
function callOnce(call: PlainCall): Effect.Effect<PlainAnswer, CallerError> {
  const keys = call.context.request.headersDistinct["idempotency-key"];
  if (keys === undefined) {
    return Effect.flatMap(sendOnce(call), toAnswer);
  }
  const [key = ""] = keys;
  if (keys.length > 1 || key.length > MAX_KEY_LENGTH || key === "") {
    return Effect.fail(
      createClaimError({
        status: 400,
        code: "invalid_idempotency_key",
        message:
          `Send one Idempotency-Key of 1 to ${MAX_KEY_LENGTH} characters`,
      }),
    );
  }
  return callClaimed(call, key);
}

function callClaimed(
  call: PlainCall,
  key: string,
): Effect.Effect<PlainAnswer, CallerError> {
  const { claims } = call.dependencies;
  const claimed = {
    organisation: call.context.organisationName,
    service: call.serviceName,
    key,
    requestSha256: digestRequest(call),
  };
  const waitMs = call.service.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  return Effect.uninterruptibleMask((restore) =>
    Effect.gen(function* () {
      const decision = yield* restore(claims.claim(claimed, { waitMs })).pipe(
        Effect.mapError(toClaimCallerError),
      );
      if (decision.kind === "done") {
        return yield* replayOutcome(decision.outcome);
      }
      const sending = yield* Effect.forkDetach(
        sendGranted(call, { claimed, granted: decision }),
      );
      return yield* restore(Fiber.join(sending));
    })
  );
}

/** Goes on without its caller, so that the outcome is recorded. */
function sendGranted(
  call: PlainCall,
  options: { readonly claimed: ClaimedCall; readonly granted: GrantedClaim },
): Effect.Effect<PlainAnswer, CallerError> {
  const { calls, claims } = call.dependencies;
  const { claimed, granted } = options;
  return Effect.gen(function* () {
    calls.begin();
    const outcome = yield* sendOnce(call, granted);
    yield* claims.recordOutcome(
      { key: claimed, claimRecordId: granted.claimRecordId },
      toCallOutcome(outcome),
    );
    return yield* toAnswer(outcome);
  }).pipe(Effect.ensuring(Effect.sync(() => calls.end())));
}

/** Sends the call; another instance gets it only if it surely did not run. */
function sendOnce(
  call: PlainCall,
  granted?: GrantedClaim,
): Effect.Effect<PlainOutcome> {
  return Effect.gen(function* () {
    let last: PlainOutcome = {
      kind: "not-run",
      message: "No instance is live",
    };
    while (last.kind === "not-run") {
      const instance = yield* allowAttempt(call, NOT_RUN_COST_REQUESTS);
      if (instance === undefined) return last;
      last = yield* attemptOn(instance, { ...call, ...granted });
    }
    return last;
  });
}

function chooseInstance(
  call: PlainCall,
  nowMs: number,
): PlainInstance | undefined {
  const { dependencies, serviceName, plan } = call;
  return chooseBackend(dependencies.listPlainInstances(serviceName), {
    dependencies,
    service: serviceName,
    triedIds: plan.tried,
    call: { availabilityZone: dependencies.availabilityZone },
    nowMs,
  });
}

function attemptOn(
  instance: PlainInstance,
  call: PlainCall & Partial<GrantedClaim>,
): Effect.Effect<PlainOutcome> {
  const { context, dependencies, plan, fencingNumber, mayDispatch } = call;
  const { requestId } = context;
  const { address, replicaId } = instance;
  return Effect.gen(function* () {
    const note = { requestId, instanceId: replicaId };
    yield* dependencies.recordEvent("attempt.started", note);
    dependencies.noteSent(replicaId);
    const startedAtMs = yield* Clock.currentTimeMillis;
    const outcome = yield* runPlainAttempt({
      address,
      method: context.request.method ?? "GET",
      path: call.path,
      headers: context.request.headers,
      body: context.body,
      requestId,
      timeoutMs: call.deadlineAtMs - startedAtMs,
      ...(isIdempotent(call)
        ? { agent: dependencies.pools.agentFor(address) }
        : {}),
      ...(fencingNumber === undefined ? {} : { fencingNumber }),
      ...(mayDispatch === undefined ? {} : { mayDispatch }),
    });
    const nowMs = yield* Clock.currentTimeMillis;
    if (outcome.kind === "answered") {
      dependencies.failures.get(call.serviceName).noteAnswer(replicaId);
      dependencies.hedgeDelays.get(call.serviceName)
        .noteAnswer(nowMs - startedAtMs);
    } else {
      plan.noteOutcome(outcome.kind);
      dependencies.failures.get(call.serviceName).noteFailure(replicaId, nowMs);
      dependencies.pools.discard(address);
    }
    yield* dependencies.recordEvent(`attempt.${outcome.kind}`, note);
    return outcome;
  }).pipe(
    Effect.onInterrupt(() =>
      Effect.sync(() => dependencies.pools.discard(address))
    ),
  );
}

function digestRequest(call: PlainCall): string {
  const { context, path } = call;
  return createHash("sha256")
    .update(`${context.request.method}\n${path}\n`)
    .update(context.body)
    .digest("hex");
}

function toCallOutcome(outcome: PlainOutcome): CallOutcome {
  if (outcome.kind !== "answered") return { state: outcome.kind };
  const { status, body, headers } = outcome.answer;
  const contentType = headers["content-type"];
  return {
    state: "ran",
    status,
    bodySha256: createHash("sha256").update(body).digest("hex"),
    ...(typeof contentType === "string" ? { contentType } : {}),
    ...(body.length > MAX_RECORDED_BODY_BYTES
      ? {}
      : { bodyBase64: body.toString("base64") }),
  };
}

function replayOutcome(
  outcome: CallOutcome,
): Effect.Effect<PlainAnswer, CallerError> {
  const { state, status, bodyBase64, bodySha256 } = outcome;
  if (state === "ran" && status !== undefined && bodyBase64 !== undefined) {
    return Effect.succeed({
      status,
      headers: outcome.contentType === undefined
        ? {}
        : { "content-type": outcome.contentType },
      body: Buffer.from(bodyBase64, "base64"),
    });
  }
  if (state === "ran" && status === undefined) {
    return Effect.fail(createUnansweredError("ran"));
  }
  return Effect.fail(
    new CallerError({
      status: 409,
      type: "invalid_request_error",
      code: state === "ran" ? "answer_not_kept" : "outcome_unknown",
      message: state === "ran"
        ? `The first call with this key ran and was answered ${status}; the answer (SHA-256 ${bodySha256}) was too large to keep, read it from the service`
        : "The outcome of the first call with this key is unknown; ask the service before a new key is used",
      outcome: state,
    }),
  );
}

function toAnswer(
  outcome: PlainOutcome,
): Effect.Effect<PlainAnswer, CallerError> {
  if (outcome.kind === "answered") return Effect.succeed(outcome.answer);
  return Effect.fail(createUnansweredError(outcome.kind));
}

function createUnansweredError(outcome: CallOutcomeState): CallerError {
  switch (outcome) {
    case "ran":
      return new CallerError({
        status: 502,
        type: "server_error",
        code: "answer_lost",
        message:
          "The service ran the call, but its answer did not arrive whole; ask it before a retry",
        outcome,
      });
    case "unknown":
      return new CallerError({
        status: 504,
        type: "server_error",
        code: "outcome_unknown",
        message:
          "The service did not answer and may have run the call; ask it before a retry",
        outcome,
      });
    case "not-run":
      return new CallerError({
        status: 503,
        type: "server_error",
        code: "no_instance",
        message: "No instance of the service could take the call; retry later",
        outcome,
        retryAfterMs: RETRY_AFTER_MS,
      });
  }
}

function toClaimCallerError(error: ClaimFailure): CallerError {
  const { message } = error;
  switch (error._tag) {
    case "ClaimKeyReused":
      return createClaimError({
        status: 422,
        code: "idempotency_key_reused",
        message,
      });
    case "ClaimKeyRefused":
      return new CallerError({
        status: 400,
        type: "invalid_request_error",
        code: "idempotency_key_refused",
        message,
        outcome: error.reason === "too-old" ? "unknown" : "not-run",
      });
    case "ClaimBusy":
    case "ClaimOutcomeUnknown":
      return new CallerError({
        status: 409,
        type: "invalid_request_error",
        code: error._tag === "ClaimBusy"
          ? "idempotency_key_in_use"
          : "outcome_unknown",
        message,
        outcome: "unknown",
        ...(error._tag === "ClaimBusy" ? { retryAfterMs: RETRY_AFTER_MS } : {}),
      });
    case "ClaimUnavailable":
      return new CallerError({
        status: 503,
        type: "server_error",
        code: "claim_unavailable",
        message,
        outcome: "not-run",
        retryAfterMs: error.retryAfterMs,
      });
  }
}

function createClaimError(
  options: {
    readonly status: number;
    readonly code: string;
    readonly message: string;
  },
): CallerError {
  return new CallerError({
    ...options,
    type: "invalid_request_error",
    outcome: "not-run",
  });
}

function writeAnswer(context: CallContext, answer: PlainAnswer): void {
  const { request, response } = context;
  const isBodiless = request.method === "HEAD" || answer.status === 204 ||
    answer.status === 304;
  response.writeHead(answer.status, {
    ...answer.headers,
    ...(isBodiless ? {} : { "content-length": answer.body.length }),
    "celerytray-outcome": "ran",
  });
  response.end(isBodiless ? undefined : answer.body);
}
