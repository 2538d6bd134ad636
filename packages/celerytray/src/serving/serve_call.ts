import { Clock, Effect } from "effect";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import { readSteadyMs, steadyMs } from "../clock/index.ts";
import { readBody } from "../http/index.ts";
import type { AdmissionEnd } from "./admission/index.ts";
import type { AttemptsResult, AttemptsSummary } from "./attempt_progress.ts";
import type { CallHead } from "./call.ts";
import type {
  AdmittedCall,
  CallRecord,
  DemandSource,
  ServingDependencies,
} from "./call_context.ts";
import type { CallerExchange, OwnAnswer } from "./caller_exchange.ts";
import { runAttempts } from "./run_attempts.ts";
import { selectService, type ServingIndex } from "./serving_index.ts";

const NO_CONFIG_RETRY_MS = 500;
const STALE_KEYS_RETRY_MS = 500;
const MAX_PRIORITY = 9;
/** Time missing from a usual budget that tells of a refusal before. */
const MIN_REFUSED_PASSED_MS = 150;

/** Serves one request of a caller. */
export function serveCall(
  exchange: CallerExchange,
  dependencies: ServingDependencies,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    const arrivedAtMs = yield* steadyMs;
    const { codec, index } = dependencies;
    const decoded = codec.decodeCall(exchange.request);
    const admitted = decoded
      .mapLeft((message): OwnAnswer => ({ status: 400, message }))
      .chain((head) =>
        admitCall(head, {
          dependencies,
          index: index(),
        })
      );
    if (admitted.isLeft()) {
      const own = admitted.extract() as OwnAnswer;
      const id = decoded.toMaybe().extract()?.id;
      exchange.answerItself(id, own);
      if (!exchange.request.complete) exchange.request.resume();
      dependencies.record({
        callId: id ?? "",
        route: "",
        service: "",
        status: own.status,
        outcome: "refused",
        reason: own.message,
        attempts: [],
        durationMs: 0,
        configVersion: index()?.config.version ?? 0,
      });
      return;
    }
    const admission = admitted.unsafeCoerce();
    const maxBytes = index()!.config.limits.maxBodyBytes;
    const body = yield* readBody(exchange.request, { maxBytes }).pipe(
      Effect.catch(() => {
        exchange.answerItself(admission.head.id, {
          status: 413,
          message: `The body exceeds ${maxBytes} bytes`,
        });
        return Effect.interrupt;
      }),
    );
    const { head, route } = admission;
    const boundMs = Math.min(head.budgetMs ?? route.timeoutMs, route.timeoutMs);
    const passedMs = head.budgetMs === undefined
      ? 0
      : dependencies.budgets.notePassed(route.name, head.budgetMs);
    const call: AdmittedCall = {
      ...admission,
      body,
      isLate: passedMs >= route.targetMs,
      wasRefused: passedMs >= MIN_REFUSED_PASSED_MS,
      arrivedAtMs,
      targetAtMs: arrivedAtMs + route.targetMs - passedMs,
      deadlineAtMs: arrivedAtMs + boundMs,
    };
    dependencies.repeats.noteRequest(call.service, arrivedAtMs);
    const source: DemandSource = {
      model: head.model ?? "",
      ...(call.tenant === undefined ? {} : { tenant: call.tenant }),
    };
    dependencies.noteDemand(source, 1);
    const clock = yield* Clock.Clock;
    const describeCall = (summary: AttemptsSummary, endedAtMs: number) =>
      describeAttempts(call, { dependencies, summary, endedAtMs });
    const onLeft = (summary: AttemptsSummary) =>
      dependencies.record({
        ...describeCall(summary, readSteadyMs(clock)),
        status: 0,
        outcome: "left",
      });
    let end: AdmissionEnd = { isServed: false };
    const serving = Effect.gen(function* () {
      const result = yield* runAttempts({
        call,
        exchange,
        dependencies,
        onLeft,
      });
      const endedAtMs = yield* steadyMs;
      end = describeEnd(result);
      finish(exchange, call, result);
      dependencies.record({
        ...describeCall(result, endedAtMs),
        ...describeResult(result),
      });
    });
    yield* serving.pipe(
      Effect.ensuring(Effect.sync(() => {
        dependencies.noteDemand(source, -1);
        dependencies.admission.end(call, end, readSteadyMs(clock));
      })),
    );
  });
}

type Admission = Omit<
  AdmittedCall,
  | "body"
  | "arrivedAtMs"
  | "targetAtMs"
  | "deadlineAtMs"
  | "isLate"
  | "wasRefused"
>;

interface AdmissionOptions {
  readonly dependencies: ServingDependencies;
  readonly index: ServingIndex | undefined;
}

/** Finds a call's route and tenant, or why it isn't forwarded. */
function admitCall(
  head: CallHead,
  { dependencies, index }: AdmissionOptions,
): Either<OwnAnswer, Admission> {
  if (index === undefined) {
    return Left({
      status: 503,
      message: "No configuration is known yet; the request was not run",
      retryAfterMs: NO_CONFIG_RETRY_MS,
    });
  }
  const { config } = index;
  const areKeysFresh = dependencies.areKeysFresh();
  const staleAnswer: OwnAnswer = {
    status: 503,
    message: "The configuration may be outdated; the request was not run",
    retryAfterMs: STALE_KEYS_RETRY_MS,
  };
  const route = index.findRoute(head.host, head.path);
  if (route === undefined) {
    if (!areKeysFresh) return Left(staleAnswer);
    return Left({ status: 404, message: "No route matches host and path" });
  }
  const admission: Admission = {
    head,
    route,
    service: selectService(route, head.id),
    priority: Math.min(MAX_PRIORITY, route.priority),
    configVersion: config.version,
  };
  if (config.tenants === undefined || route.isPublic) return Right(admission);
  if (!areKeysFresh) return Left(staleAnswer);
  const tenant = head.key === undefined
    ? undefined
    : index.findTenant(head.key);
  if (tenant === undefined) {
    return Left({ status: 401, message: "The key is not known" });
  }
  return Right({
    ...admission,
    tenant: tenant.name,
    priority: Math.min(MAX_PRIORITY, tenant.priority ?? route.priority),
  });
}

/** Hands over the final answer. */
function finish(
  exchange: CallerExchange,
  call: AdmittedCall,
  result: AttemptsResult,
): void {
  if (exchange.hasEnded) return;
  if (result.kind === "answered") {
    exchange.answer(result.head, result.body);
  } else if (result.kind === "streamed") {
    exchange.endStream();
  } else if (exchange.hasStarted) {
    exchange.breakOff();
  } else {
    exchange.answerItself(call.head.id, result.own);
  }
}

function describeEnd(
  { kind, firstByteAtMs }: AttemptsResult,
): AdmissionEnd {
  return {
    isServed: kind !== "given-up",
    ...(firstByteAtMs === undefined ? {} : { firstByteAtMs }),
  };
}

function describeResult(
  result: AttemptsResult,
): Pick<CallRecord, "status" | "outcome" | "reason"> {
  return {
    status: result.kind === "answered"
      ? result.head.status
      : result.kind === "streamed"
      ? 200
      : result.own.status,
    outcome: result.kind === "given-up"
      ? result.hasStarted
        ? "broken-off"
        : result.own.status === 503
        ? "refused"
        : "failed"
      : result.kind,
    ...(result.kind === "given-up" ? { reason: result.own.message } : {}),
  };
}

/** What a record tells of a call however it ended. */
function describeAttempts(
  call: AdmittedCall,
  { dependencies, summary, endedAtMs }: {
    readonly dependencies: ServingDependencies;
    readonly summary: AttemptsSummary;
    readonly endedAtMs: number;
  },
): Omit<CallRecord, "status" | "outcome" | "reason"> {
  const { head, route, service, arrivedAtMs, configVersion } = call;
  const { attempts, firstByteAtMs } = summary;
  const admission = dependencies.admission.describe(call, endedAtMs);
  return {
    callId: head.id,
    route: route.name,
    service,
    ...(head.model === undefined ? {} : { model: head.model }),
    attempts,
    durationMs: endedAtMs - arrivedAtMs,
    ...(firstByteAtMs === undefined
      ? {}
      : { firstByteMs: firstByteAtMs - arrivedAtMs }),
    configVersion,
    ...(admission === undefined ? {} : { admission }),
  };
}
