import { Clock, type Context, Deferred, Effect, Fiber } from "effect";
import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import { randomUUID } from "node:crypto";
import { fromEither } from "../errors/index.ts";
import { discardRequest, readBody, RequestOrder } from "../http/index.ts";
import { authenticate } from "./authenticate.ts";
import type { CallContext, ForwardingDependencies } from "./call_context.ts";
import { callPlainService } from "./call_plain_service.ts";
import {
  CallerError,
  createErrorBody,
  writeCallerError,
} from "./caller_error.ts";
import { completeChat } from "./complete_chat.ts";
import { toOriginForm } from "./parse_service_path.ts";
import { createRefusedError } from "./refused_error.ts";

const NOT_READY_RETRY_MS = 2_000;
const MAX_DISCARDED_BYTES = 64 * 1024 * 1024;
const MAX_HEADER_COUNT = 100;
const BODY_TIMEOUT_MS = 30_000;
/** Declared size up to which a body needs no timeout but the server's own. */
const MAX_SMALL_BODY_BYTES = 16 * 1024;
const BODY_TIMEOUT = new CallerError({
  status: 408,
  type: "invalid_request_error",
  code: "body_timeout",
  message:
    `The request body did not arrive within ${BODY_TIMEOUT_MS} ms; send it faster`,
  outcome: "not-run",
});
const SERVICES_PREFIX = "/services/";
const COMPLETION_PATHS = ["/v1/chat/completions", "/v1/completions"];

/** Creates the listener that serves callers. */
export function createCallerHandler(
  dependencies: ForwardingDependencies,
  runtime: Context.Context<never>,
): RequestListener {
  const run = Effect.runForkWith(runtime);
  const order = new RequestOrder();
  return (request, response) => {
    if (handleProbe(request, { response, dependencies })) return;
    dependencies.calls.begin();
    const turn = Deferred.makeUnsafe<void>();
    const fiber = run(
      serveCall(request, {
        response,
        dependencies,
        turn: Deferred.await(turn),
      }),
    );
    const handleClose = () => {
      if (!response.writableFinished) run(Fiber.interrupt(fiber));
      fiber.addObserver(() => dependencies.calls.end());
    };
    order.add(response, {
      begin: () => {
        Deferred.doneUnsafe(turn, Effect.void);
        response.on("close", handleClose);
      },
      drop: handleClose,
    });
  };
}

interface Exchange {
  readonly response: ServerResponse;
  readonly dependencies: ForwardingDependencies;
}

/** Answers the load balancer's probes; returns whether it was one. */
function handleProbe(request: IncomingMessage, exchange: Exchange): boolean {
  const { response, dependencies } = exchange;
  if (request.url === "/livez") {
    response.end("ok\n");
    return true;
  }
  if (request.url !== "/readyz") return false;
  const reason = dependencies.notReadyReason();
  response.statusCode = reason === undefined ? 200 : 503;
  response.end(`${reason ?? "ok"}\n`);
  return true;
}

interface OrderedExchange extends Exchange {
  /** Completes when all earlier requests of its connection are answered. */
  readonly turn: Effect.Effect<void>;
}

function serveCall(
  request: IncomingMessage,
  exchange: OrderedExchange,
): Effect.Effect<void> {
  const { response, dependencies } = exchange;
  const requestId = `req-${randomUUID()}`;
  response.setHeader("x-request-id", requestId);
  const served = Effect.gen(function* () {
    const context = yield* admitCall(request, { ...exchange, requestId });
    yield* exchange.turn;
    yield* dependencies.recordEvent("request.admitted", { requestId });
    yield* dispatch(context, dependencies);
    yield* dependencies.recordEvent("request.finished", { requestId });
  });
  return served.pipe(
    Effect.catchTag(
      "CallerError",
      (error) =>
        dependencies.recordEvent("request.failed", {
          requestId,
          detail: `${error.code}: ${error.message}`,
        }).pipe(Effect.andThen(Effect.sync(() => sendError(response, error)))),
    ),
  );
}

interface IncomingCall extends Exchange {
  readonly requestId: string;
}

function admitCall(
  request: IncomingMessage,
  incoming: IncomingCall,
): Effect.Effect<CallContext, CallerError> {
  const { response, dependencies, requestId } = incoming;
  return Effect.gen(function* () {
    const reason = dependencies.notReadyReason();
    if (reason !== undefined) {
      response.setHeader("connection", "close");
      return yield* createNotReadyError(reason);
    }
    if (request.rawHeaders.length > 2 * MAX_HEADER_COUNT) {
      return yield* createTooManyHeadersError();
    }
    const config = dependencies.config();
    const caller = yield* fromEither(authenticate(request, config));
    const nowMs = yield* Clock.currentTimeMillis;
    const admitted = dependencies.admission.admit({ ...caller, nowMs });
    yield* fromEither(admitted.mapLeft(createRefusedError));
    const body = yield* readCallBody(request, incoming);
    return {
      ...caller,
      requestId,
      request,
      response,
      body,
      config,
      arrivedAtMs: nowMs,
    };
  });
}

function readCallBody(
  request: IncomingMessage,
  { response, dependencies }: IncomingCall,
): Effect.Effect<Buffer, CallerError> {
  const { maxBodyBytes } = dependencies;
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  const isExpected = request.headers.expect !== undefined;
  if (isExpected && declaredBytes <= maxBodyBytes) response.writeContinue();
  return readBody(request, { maxBytes: maxBodyBytes }).pipe(
    Effect.mapError(({ maxBytes }) => createTooLargeError(maxBytes)),
    (read) =>
      declaredBytes > 0 && declaredBytes <= MAX_SMALL_BODY_BYTES
        ? read
        : limitBodyTime(read),
  );
}

/** Limits the time in which the body is read. */
function limitBodyTime(
  read: Effect.Effect<Buffer, CallerError>,
): Effect.Effect<Buffer, CallerError> {
  return read.pipe(Effect.timeoutOrElse({
    duration: BODY_TIMEOUT_MS,
    orElse: () => Effect.fail(BODY_TIMEOUT),
  }));
}

function dispatch(
  context: CallContext,
  dependencies: ForwardingDependencies,
): Effect.Effect<void, CallerError> {
  const path = toOriginForm(context.request.url ?? "/").split("?")[0]!;
  if (path.startsWith(SERVICES_PREFIX)) {
    return callPlainService(context, dependencies);
  }
  if (COMPLETION_PATHS.includes(path) && context.request.method === "POST") {
    return completeChat(context, dependencies);
  }
  return Effect.fail(
    new CallerError({
      status: 404,
      type: "invalid_request_error",
      code: "unknown_path",
      message:
        "Unknown path; use POST /v1/chat/completions or /services/NAME/...",
      outcome: "not-run",
    }),
  );
}

/** Reports an error to the caller, also within a stream that has begun. */
function sendError(response: ServerResponse, error: CallerError): void {
  const contentType = response.getHeader("content-type");
  const isStream = response.headersSent && contentType === "text/event-stream";
  if (!isStream) {
    const { req: request } = response;
    if (!request.complete) {
      discardRequest(request, { maxBytes: MAX_DISCARDED_BYTES });
    }
    writeCallerError(response, error);
    return;
  }
  response.end(`data: ${createErrorBody(error)}\n\n`);
}

function createNotReadyError(reason: string): CallerError {
  return new CallerError({
    status: 503,
    type: "server_error",
    code: "not_ready",
    message: `This entry instance accepts no requests: ${reason}; retry`,
    outcome: "not-run",
    retryAfterMs: NOT_READY_RETRY_MS,
  });
}

function createTooManyHeadersError(): CallerError {
  return new CallerError({
    status: 431,
    type: "invalid_request_error",
    code: "too_many_headers",
    message:
      `The request has too many headers; send at most ${MAX_HEADER_COUNT}`,
    outcome: "not-run",
  });
}

function createTooLargeError(maxBytes: number): CallerError {
  return new CallerError({
    status: 413,
    type: "invalid_request_error",
    code: "body_too_large",
    message: `The body exceeds ${maxBytes} bytes; send a smaller one`,
    outcome: "not-run",
  });
}
