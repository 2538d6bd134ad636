import type { CallOutcome, PlainService } from "@celerytray/schema";
import { Effect } from "effect";
import { createHash } from "node:crypto";
import type { ClaimBusy, ClaimKeyReused } from "../claims/index.ts";
import type { LogError } from "../log/index.ts";
import { CallerError } from "./caller_error.ts";
import type { CallContext, ForwardingDependencies } from "./caller_handler.ts";
import type { PlainInstance } from "./forwarding_types.ts";
import {
  type PlainAnswer,
  type PlainOutcome,
  runPlainAttempt,
} from "./plain_attempt.ts";

const DEFAULT_IDEMPOTENT_METHODS = ["GET", "HEAD", "OPTIONS"];
const DEFAULT_TIMEOUT_MS = 10_000;
const MAX_IDEMPOTENT_ATTEMPTS = 3;
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
}

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
  const match = /^\/services\/([^/?]+)(.*)$/.exec(context.request.url ?? "");
  const serviceName = match?.[1] ?? "";
  const service = context.config.services[serviceName];
  const isOpen = context.organisation.services.includes(serviceName);
  if (service?.kind === "plain" && isOpen) {
    const path = match?.[2] || "/";
    return Effect.succeed({
      context,
      dependencies,
      serviceName,
      service,
      path,
    });
  }
  return Effect.fail(
    new CallerError({
      status: 404,
      type: "invalid_request_error",
      code: "service_not_found",
      message:
        "No such service is open to you; check the name after /services/",
      outcome: "not-run",
    }),
  );
}

function isIdempotent(call: PlainCall): boolean {
  const methods: readonly string[] = call.service.idempotentMethods ??
    DEFAULT_IDEMPOTENT_METHODS;
  return methods.includes(call.context.request.method ?? "");
}

/** Repeats on another instance until an answer arrives. */
function callIdempotent(
  call: PlainCall,
): Effect.Effect<PlainAnswer, CallerError> {
  return Effect.gen(function* () {
    const tried = new Set<string>();
    let last: PlainOutcome | undefined;
    while (tried.size < MAX_IDEMPOTENT_ATTEMPTS) {
      const instance = chooseInstance(call, tried);
      if (instance === undefined) break;
      tried.add(instance.replicaId);
      last = yield* attemptOn(instance, call);
      if (last.kind === "answered") return last.answer;
    }
    return yield* createUnansweredError(last);
  });
}

/** Sends the call at most once; with a key, only after its claim is granted. */
function callOnce(call: PlainCall): Effect.Effect<PlainAnswer, CallerError> {
  const key = call.context.request.headers["idempotency-key"];
  if (key === undefined) {
    return Effect.flatMap(sendOnce(call), toAnswer);
  }
  if (typeof key !== "string" || key.length > MAX_KEY_LENGTH || key === "") {
    return Effect.fail(
      createClaimError({
        status: 400,
        code: "invalid_idempotency_key",
        message: `Idempotency-Key must have 1 to ${MAX_KEY_LENGTH} characters`,
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
  return Effect.gen(function* () {
    const decision = yield* claims.claim(claimed).pipe(
      Effect.mapError(toClaimCallerError),
    );
    if (decision.kind === "done") return yield* replayOutcome(decision.outcome);
    const { claimRecordId } = decision;
    const outcome = yield* sendOnce(call);
    yield* claims.recordOutcome(
      { key: claimed, claimRecordId },
      toCallOutcome(outcome),
    );
    return yield* toAnswer(outcome);
  });
}

function sendOnce(call: PlainCall): Effect.Effect<PlainOutcome> {
  const instance = chooseInstance(call, new Set());
  if (instance === undefined) {
    return Effect.succeed({ kind: "not-run", message: "no instance is live" });
  }
  return attemptOn(instance, call);
}

function chooseInstance(
  call: PlainCall,
  tried: ReadonlySet<string>,
): PlainInstance | undefined {
  const { dependencies, serviceName } = call;
  return dependencies.router.choose(
    dependencies.listPlainInstances(serviceName),
    {
      availabilityZone: dependencies.availabilityZone,
      excludedIds: tried,
    },
  );
}

function attemptOn(
  instance: PlainInstance,
  call: PlainCall,
): Effect.Effect<PlainOutcome> {
  const { context, dependencies } = call;
  const { requestId } = context;
  return Effect.gen(function* () {
    const note = { requestId, instanceId: instance.replicaId };
    yield* dependencies.recordEvent("attempt.started", note);
    const outcome = yield* runPlainAttempt({
      address: instance.address,
      method: context.request.method ?? "GET",
      path: call.path,
      headers: context.request.headers,
      body: context.body,
      requestId,
      timeoutMs: call.service.timeoutMs ?? DEFAULT_TIMEOUT_MS,
      ...(isIdempotent(call) ? { agent: dependencies.agent } : {}),
    });
    yield* dependencies.recordEvent(`attempt.${outcome.kind}`, note);
    return outcome;
  });
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
  const { status, body, contentType } = outcome.answer;
  return {
    state: "ran",
    status,
    bodySha256: createHash("sha256").update(body).digest("hex"),
    ...(contentType === undefined ? {} : { contentType }),
    ...(body.length > MAX_RECORDED_BODY_BYTES
      ? {}
      : { bodyBase64: body.toString("base64") }),
  };
}

function replayOutcome(
  outcome: CallOutcome,
): Effect.Effect<PlainAnswer, CallerError> {
  if (outcome.state === "ran" && outcome.status !== undefined) {
    return Effect.succeed({
      status: outcome.status,
      contentType: outcome.contentType,
      body: Buffer.from(outcome.bodyBase64 ?? "", "base64"),
    });
  }
  return Effect.fail(
    new CallerError({
      status: 409,
      type: "invalid_request_error",
      code: "idempotency_key_spent",
      message: outcome.state === "not-run"
        ? "The first call with this key did not run; send it with a new key"
        : "The outcome of the first call with this key is unknown; ask the service before a new key is used",
      outcome: outcome.state,
    }),
  );
}

function toAnswer(
  outcome: PlainOutcome,
): Effect.Effect<PlainAnswer, CallerError> {
  if (outcome.kind === "answered") return Effect.succeed(outcome.answer);
  return Effect.fail(createUnansweredError(outcome));
}

function createUnansweredError(outcome: PlainOutcome | undefined): CallerError {
  const isUnknown = outcome?.kind === "unknown";
  return new CallerError({
    status: isUnknown ? 504 : 503,
    type: "server_error",
    code: isUnknown ? "outcome_unknown" : "no_instance",
    message: isUnknown
      ? "The service did not answer and may have run the call; ask it before a retry"
      : "No instance of the service could take the call; retry later",
    outcome: isUnknown ? "unknown" : "not-run",
    ...(isUnknown ? {} : { retryAfterMs: RETRY_AFTER_MS }),
  });
}

function toClaimCallerError(
  error: ClaimBusy | ClaimKeyReused | LogError,
): CallerError {
  const { message } = error;
  switch (error._tag) {
    case "ClaimKeyReused":
      return createClaimError({
        status: 422,
        code: "idempotency_key_reused",
        message,
      });
    case "ClaimBusy":
      return new CallerError({
        status: 409,
        type: "invalid_request_error",
        code: "idempotency_key_in_use",
        message,
        outcome: "unknown",
        retryAfterMs: RETRY_AFTER_MS,
      });
    default:
      return new CallerError({
        status: 503,
        type: "server_error",
        code: "claim_unavailable",
        message: "The call could not be claimed; retry with the same key",
        outcome: "not-run",
        retryAfterMs: RETRY_AFTER_MS,
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
  const { response } = context;
  response.writeHead(answer.status, {
    "content-length": answer.body.length,
    "celerytray-outcome": "ran",
    ...(answer.contentType === undefined
      ? {}
      : { "content-type": answer.contentType }),
  });
  response.end(answer.body);
}
