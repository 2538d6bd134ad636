import { Effect } from "effect";
import { Left, Right } from "purify-ts";
import { fromEither } from "../errors/index.ts";
import { AttemptPlan } from "./attempt_plan.ts";
import { callIdempotent } from "./call_idempotent.ts";
import { callOnce } from "./call_once.ts";
import { CallerError } from "./caller_error.ts";
import type { CallContext, ForwardingDependencies } from "./call_context.ts";
import { parseServicePath } from "./parse_service_path.ts";
import type { PlainResponse } from "./plain_attempt.ts";
import { isIdempotent, type PlainCall } from "./plain_call.ts";

const DEFAULT_TIMEOUT_MS = 10_000;
const NOT_FOUND = new CallerError({
  status: 404,
  type: "invalid_request_error",
  code: "service_not_found",
  message:
    "The service does not exist or your organisation has no access to it; check the name after /services/",
  outcome: "not-run",
});

/** Forwards a call to a plain service; a non-idempotent one runs at most once. */
export function callPlainService(
  context: CallContext,
  dependencies: ForwardingDependencies,
): Effect.Effect<void, CallerError> {
  return Effect.gen(function* () {
    const call = yield* findCall(context, dependencies);
    const upstream = yield* isIdempotent(call)
      ? callIdempotent(call)
      : callOnce(call);
    yield* Effect.sync(() => writeResponse(context, upstream));
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
      const isAllowed = context.organisation.services.includes(serviceName);
      if (service?.kind !== "plain" || !isAllowed) return Left(NOT_FOUND);
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

function writeResponse(context: CallContext, upstream: PlainResponse): void {
  const { request, response } = context;
  const isBodiless = request.method === "HEAD" || upstream.status === 204 ||
    upstream.status === 304;
  response.writeHead(upstream.status, {
    ...upstream.headers,
    ...(isBodiless ? {} : { "content-length": upstream.body.length }),
    "celerytray-outcome": "ran",
  });
  response.end(isBodiless ? undefined : upstream.body);
}
