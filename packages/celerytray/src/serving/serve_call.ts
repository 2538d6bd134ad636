import { Clock, Effect } from "effect";
import { readSteadyMs, steadyMs } from "../clock/index.ts";
import { discardRequest, readBody } from "../http/index.ts";
import { type Either, Left, Right } from "purify-ts";
import { admitCall, admitInTime, type TimedAdmission } from "./admit_call.ts";
import type { AdmissionEnd } from "./admission/index.ts";
import type { CallHeaders } from "./call.ts";
import type { AttemptsResult, AttemptsSummary } from "./attempt_progress.ts";
import type {
  AdmittedCall,
  DemandSource,
  ServingDependencies,
} from "./call_context.ts";
import type {
  CallerExchange,
  HeldBody,
  LocalResponse,
} from "./exchange/index.ts";
import {
  describeAttempts,
  describePrompt,
  describeResult,
  describeUnfinished,
} from "./call_record.ts";
import { runAttempts } from "./run_attempts.ts";

const NO_MEMORY_RETRY_AFTER_MS = 500;
/** Bytes of refused bodies that are read before a configuration is known. */
const MAX_DISCARDED_BYTES = 4 * 1024 * 1024;

/** Serves one request of a caller. */
export function serveCall(
  exchange: CallerExchange,
  dependencies: ServingDependencies,
): Effect.Effect<void> {
  const heldBody = dependencies.held.holdBody();
  return serveBuffered(exchange, dependencies, heldBody).pipe(
    Effect.ensuring(Effect.sync(() => heldBody.release())),
  );
}

function serveBuffered(
  exchange: CallerExchange,
  dependencies: ServingDependencies,
  heldBody: HeldBody,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    const { arrivedAtMs } = exchange;
    const { codec, index } = dependencies;
    const decoded = codec.decodeCall(exchange.request);
    const admitted = decoded
      .mapLeft((message): LocalResponse => ({ status: 400, message }))
      .chain((headers) =>
        admitCall(headers, {
          dependencies,
          index: index(),
        })
      )
      .chain((admission) => admitInTime(admission, dependencies, arrivedAtMs))
      .chain((admission) => dependencies.stop.admit(admission, arrivedAtMs))
      .chain((admission) => admitRelayed(admission, exchange, dependencies));
    if (admitted.isLeft()) {
      const response = admitted.extract() as LocalResponse;
      const headers = decoded.toMaybe().extract();
      refuse(exchange, { headers, response, dependencies });
      return;
    }
    const admission = admitted.unsafeCoerce();
    const maxBytes = index()!.config.limits.maxBodyBytes;
    const refuseForMemory = () => {
      dependencies.onWithheld("memory");
      const response: LocalResponse = {
        status: 503,
        message: "The body does not fit into memory; the request was not run",
        retryAfterMs: Math.min(
          NO_MEMORY_RETRY_AFTER_MS,
          (admission.deadlineAtMs - arrivedAtMs) / 3,
        ),
      };
      const { headers } = admission;
      refuse(exchange, { headers, response, dependencies });
    };
    const declaredBytes = Number(
      exchange.request.headers["content-length"] ?? 0,
    );
    if (
      declaredBytes <= maxBytes && !dependencies.held.makeRoom(declaredBytes)
    ) {
      refuseForMemory();
      return;
    }
    const body = yield* readBody(exchange.request, {
      maxBytes,
      memory: heldBody,
    }).pipe(
      Effect.catch((failure) => {
        if (failure._tag === "BodyMemoryExceeded") refuseForMemory();
        else {
          discardRequest(exchange.request, { maxBytes });
          exchange.sendLocalResponse(admission.headers.id, {
            status: 413,
            message: `The body exceeds ${maxBytes} bytes; send a smaller one`,
          });
        }
        return Effect.interrupt;
      }),
    );
    const { headers } = admission;
    const isRelayed = exchange.relay !== undefined;
    const call: AdmittedCall = { ...admission, body, arrivedAtMs, isRelayed };
    const clock = yield* Clock.Clock;
    const describeCall = (summary: AttemptsSummary, endedAtMs: number) =>
      describeAttempts(call, { dependencies, summary, endedAtMs });
    const onLeft = (summary: AttemptsSummary) =>
      dependencies.record({
        ...describeCall(summary, readSteadyMs(clock)),
        ...describeUnfinished(call, exchange.hasStarted, readSteadyMs(clock)),
        ...exchange.describeClose(),
        status: 0,
        outcome: "left",
      });
    yield* exchange.turn.pipe(
      Effect.onInterrupt(() => Effect.sync(() => onLeft({ attempts: [] }))),
    );
    // The process that its caller called has counted a relayed request.
    if (!isRelayed) {
      dependencies.retryBudget.noteRequest(call.service, arrivedAtMs);
    }
    const source: DemandSource = {
      model: headers.model ?? "",
      ...(call.tenant === undefined ? {} : { tenant: call.tenant }),
    };
    dependencies.noteDemand(source, 1);
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
      if (result.kind !== "given-up") {
        const durationMs = endedAtMs - arrivedAtMs;
        dependencies.stop.noteAnswered(call.route.name, durationMs, endedAtMs);
      }
      finish(exchange, call, result);
      dependencies.record({
        ...describeCall(result, endedAtMs),
        ...(result.kind === "given-up"
          ? describeUnfinished(call, result.hasStarted, endedAtMs)
          : {}),
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

/**
 * Limits the attempts of a relayed request to those that are left. A process
 * whose own links are lost too serves none.
 */
function admitRelayed(
  admission: TimedAdmission,
  { relay }: CallerExchange,
  { links }: ServingDependencies,
): Either<LocalResponse, TimedAdmission> {
  if (relay === undefined) return Right(admission);
  if (links.isLost(admission.service)) return Left(UNREACHABLE_RESPONSE);
  const { route } = admission;
  const maxAttempts = Math.min(route.maxAttempts, relay.attemptsLeft);
  return Right({ ...admission, route: { ...route, maxAttempts } });
}

const UNREACHABLE_RESPONSE: LocalResponse = {
  status: 421,
  message: "This process reaches no instance either; the request was not run",
};

interface Refusal {
  /** Undefined if they can't be decoded. */
  readonly headers: CallHeaders | undefined;
  readonly response: LocalResponse;
  readonly dependencies: ServingDependencies;
}

/** Refuses a request, whether or not its body has arrived. */
function refuse(
  exchange: CallerExchange,
  { headers, response, dependencies }: Refusal,
): void {
  const { config } = dependencies.index() ?? {};
  // Before the response, which lets Node discard the rest without a limit.
  if (!exchange.request.complete) {
    discardRequest(exchange.request, {
      maxBytes: config?.limits.maxBodyBytes ?? MAX_DISCARDED_BYTES,
    });
  }
  exchange.sendLocalResponse(headers?.id, response);
  dependencies.record({
    callId: headers?.id ?? "",
    ...describePrompt(headers),
    route: "",
    service: "",
    status: response.status,
    outcome: "refused",
    cause: "refused",
    reason: response.message,
    attempts: [],
    durationMs: 0,
    configVersion: config?.version ?? 0,
  });
}

/** Sends the final response or its end. */
function finish(
  exchange: CallerExchange,
  call: AdmittedCall,
  result: AttemptsResult,
): void {
  if (exchange.hasEnded) return;
  if (result.kind === "answered") {
    exchange.sendResponse(result.headers, result.body);
  } else if (result.kind === "streamed") {
    exchange.endStream();
  } else if (exchange.hasStarted) {
    exchange.abort();
  } else {
    exchange.sendLocalResponse(call.headers.id, result.response);
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
