import { Effect } from "effect";
import type { Agent } from "node:http";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import { steadyMs } from "../clock/index.ts";
import { readBody } from "../http/index.ts";
import type { CallCodec, CallHead } from "./call.ts";
import type { CallerExchange, OwnAnswer } from "./caller_exchange.ts";
import type { ServingTarget } from "./choose_target.ts";
import type { LoadBook } from "./load_book.ts";
import type { PaceBook } from "./pace_book.ts";
import type { RepeatBudget } from "./repeat_budget.ts";
import { type AttemptsResult, runAttempts } from "./run_attempts.ts";
import type { ServingRoute } from "./serving_config.ts";
import { selectService, type ServingIndex } from "./serving_index.ts";
import type { StallWatch } from "./stall_watch.ts";

/** What serving a call needs of its process. */
export interface ServingDependencies {
  readonly codec: CallCodec;
  readonly zone: string;
  /** The configuration in force; undefined before there is one. */
  readonly index: () => ServingIndex | undefined;
  /** Whether keys are known to be the newest. */
  readonly areKeysFresh: () => boolean;
  /** Instances that may take a call: of a model, or of a plain service. */
  readonly listTargets: (
    service: string,
    model: string | undefined,
  ) => readonly ServingTarget[];
  readonly loads: LoadBook;
  readonly stalls: StallWatch;
  readonly paces: PaceBook;
  readonly repeats: RepeatBudget;
  readonly agentFor: (address: string) => Agent;
  readonly discardAgent: (address: string) => void;
  /** Whether a connection to an address is open and unused. */
  readonly hasConnection: (address: string) => boolean;
  readonly random: () => number;
  /** Counts the requests in progress for a model. */
  readonly noteDemand: (model: string, change: 1 | -1) => void;
  readonly record: (outcome: CallRecord) => void;
}

/** What became of a call, for logs and metrics. */
export interface CallRecord {
  readonly callId: string;
  readonly route: string;
  readonly service: string;
  readonly model?: string;
  readonly status: number;
  readonly outcome:
    | "answered"
    | "streamed"
    | "refused"
    | "failed"
    | "broken-off"
    | "left";
  readonly reason?: string;
  readonly attempts: readonly string[];
  readonly durationMs: number;
  readonly firstByteMs?: number;
  readonly configVersion: number;
}

/** A call that may be forwarded. */
export interface AdmittedCall {
  readonly head: CallHead;
  readonly route: ServingRoute;
  readonly service: string;
  readonly tenant?: string;
  readonly priority: number;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
  /** Time at which the caller or the route's bound gives up. */
  readonly deadlineAtMs: number;
  readonly configVersion: number;
}

const NO_CONFIG_RETRY_MS = 500;
const STALE_KEYS_RETRY_MS = 500;
const MAX_PRIORITY = 9;

/** Serves one request of a caller. */
export function serveCall(
  exchange: CallerExchange,
  dependencies: ServingDependencies,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    const arrivedAtMs = yield* steadyMs;
    const { codec, index } = dependencies;
    const admitted = codec.decodeCall(exchange.request)
      .mapLeft((message): OwnAnswer => ({ status: 400, message }))
      .chain((head) =>
        admitCall(head, {
          dependencies,
          index: index(),
        })
      );
    if (admitted.isLeft()) {
      const own = admitted.extract() as OwnAnswer;
      const id = codec.decodeCall(exchange.request).toMaybe().extract()?.id;
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
    const call: AdmittedCall = {
      ...admission,
      body,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + boundMs,
    };
    dependencies.repeats.noteRequest(call.service, arrivedAtMs);
    const model = head.model ?? "";
    dependencies.noteDemand(model, 1);
    const result = yield* runAttempts({ call, exchange, dependencies }).pipe(
      Effect.ensuring(
        Effect.sync(() => dependencies.noteDemand(model, -1)),
      ),
    );
    const endedAtMs = yield* steadyMs;
    finish(exchange, call, result);
    dependencies.record(createRecord(call, result, endedAtMs));
  });
}

type Admission = Omit<AdmittedCall, "body" | "arrivedAtMs" | "deadlineAtMs">;

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

function createRecord(
  call: AdmittedCall,
  result: AttemptsResult,
  endedAtMs: number,
): CallRecord {
  const { head, route, service } = call;
  return {
    callId: head.id,
    route: route.name,
    service,
    ...(head.model === undefined ? {} : { model: head.model }),
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
    attempts: result.attempts,
    durationMs: endedAtMs - call.arrivedAtMs,
    ...(result.firstByteAtMs === undefined
      ? {}
      : { firstByteMs: result.firstByteAtMs - call.arrivedAtMs }),
    configVersion: call.configVersion,
  };
}
