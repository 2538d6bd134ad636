import {
  Clock,
  type Context,
  Deferred,
  Effect,
  Fiber,
  type Scope,
} from "effect";
import type { RequestListener, Server, ServerResponse } from "node:http";
import { readSteadyMs } from "../clock/index.ts";
import { InFlightCalls } from "../forwarding/index.ts";
import {
  type AddressInUse,
  listen,
  type ListenFailure,
  type ListenOptions,
  RequestOrder,
  takeArrivals,
} from "../http/index.ts";
import {
  CallerExchange,
  type LocalResponse,
  serveCall,
  type ServingDependencies,
} from "../serving/index.ts";

/** Options of the server for callers. */
export interface CallerServerOptions {
  readonly address: string;
  readonly dependencies: ServingDependencies;
  readonly idleTimeoutMs: number;
  readonly headerTimeoutMs: number;
  readonly maxHeaderBytes: number;
  readonly connections?: ListenOptions["connections"];
  readonly inUse?: AddressInUse;
}

/** A server for callers' requests. */
export interface CallerServer {
  /** Requests whose answers are not sent in full. */
  readonly calls: InFlightCalls;
  /** Handles requests that other processes relay here. */
  readonly relayed: RequestListener;
  /** Closes each connection after its next response. */
  readonly close: () => void;
  /** Stops listening; completes once all connections are closed. */
  readonly finish: () => Effect.Effect<void>;
  /** Applies the timeouts of a new configuration. */
  readonly setTimeouts: (timeouts: {
    readonly idleTimeoutMs: number;
    readonly headerTimeoutMs: number;
  }) => void;
}

/**
 * Added to the timeouts, so that a connection is not closed just as a caller
 * reuses it.
 */
const TIMEOUT_MARGIN_MS = 1_000;
const INTERNAL_ERROR_RESPONSE: LocalResponse = {
  status: 500,
  message: "An unexpected error met the request; it may have run",
};
/** Time within which a request must arrive in full. */
export const REQUEST_TIMEOUT_MS = 60_000;

/** Serves callers until the scope closes. */
export function createCallerServer(
  options: CallerServerOptions,
): Effect.Effect<CallerServer, ListenFailure, Scope.Scope> {
  return Effect.gen(function* () {
    const calls = new InFlightCalls();
    const state: ServerState = { isClosing: false };
    const clock = yield* Clock.Clock;
    const handlerOptions = {
      options,
      calls,
      state,
      nowMs: () => readSteadyMs(clock),
      context: yield* Effect.context<never>(),
    };
    const handler = createHandler({ ...handlerOptions, isRelay: false });
    const server: Server = yield* listen({
      address: options.address,
      handler,
      headersTimeoutMs: options.headerTimeoutMs + TIMEOUT_MARGIN_MS,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      maxHeaderBytes: options.maxHeaderBytes,
      handlesContinue: true,
      readsInTurn: true,
      ...(options.connections === undefined
        ? {}
        : { connections: options.connections }),
      ...(options.inUse === undefined ? {} : { inUse: options.inUse }),
    });
    const setIdleTimeout = (idleTimeoutMs: number) => {
      server.keepAliveTimeout = idleTimeoutMs + TIMEOUT_MARGIN_MS;
    };
    setIdleTimeout(options.idleTimeoutMs);
    return {
      calls,
      relayed: createHandler({ ...handlerOptions, isRelay: true }),
      close: () => {
        state.isClosing = true;
      },
      finish: () => closeServer(server),
      setTimeouts: ({ idleTimeoutMs, headerTimeoutMs }) => {
        setIdleTimeout(idleTimeoutMs);
        server.headersTimeout = headerTimeoutMs + TIMEOUT_MARGIN_MS;
      },
    };
  });
}

/**
 * Takes what has arrived, closes the listening socket and idle connections, and
 * waits until the others are closed, which they are after their next response.
 */
function closeServer(server: Server): Effect.Effect<void> {
  const close = Effect.callback<void>((resume) => {
    server.close(() => resume(Effect.void));
  });
  return Effect.andThen(takeArrivals(server), close);
}

interface ServerState {
  isClosing: boolean;
}

interface HandlerOptions {
  readonly options: CallerServerOptions;
  readonly calls: InFlightCalls;
  readonly state: ServerState;
  readonly nowMs: () => number;
  readonly context: Context.Context<never>;
  /** Whether the requests come from other processes. */
  readonly isRelay: boolean;
}

function createHandler(
  { options, calls, state, nowMs, context, isRelay }: HandlerOptions,
): RequestListener {
  const run = Effect.runForkWith(context);
  const { dependencies } = options;
  const order = new RequestOrder();
  return (request, response) => {
    const turn = Deferred.makeUnsafe<void>();
    const relay = isRelay ? dependencies.codec.decodeRelay(request) : undefined;
    const exchange = new CallerExchange({
      request,
      response,
      codec: dependencies.codec,
      arrivedAtMs: nowMs(),
      turn: Deferred.await(turn),
      isClosing: () => state.isClosing,
      held: dependencies.held,
      ...(relay === undefined ? {} : { relay }),
    });
    if (request.headers.expect !== undefined) response.writeContinue();
    calls.begin();
    const fiber = run(serveExchange(exchange, dependencies));
    response.on("error", () => {});
    const isSent = watchSending(response);
    // Until then its last bytes may still have to be sent.
    const handleClose = () => {
      calls.end();
      if (isSent()) return;
      if (exchange.hasEnded) {
        const { callId } = exchange;
        dependencies.onUnsent({ callId, ...exchange.describeClose() });
        return;
      }
      run(Fiber.interrupt(fiber));
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

/** Serves a request, and ends it after an unexpected error. */
function serveExchange(
  exchange: CallerExchange,
  dependencies: ServingDependencies,
): Effect.Effect<void> {
  return serveCall(exchange, dependencies).pipe(
    Effect.catchDefect((defect) =>
      Effect.sync(() => {
        dependencies.onFault(defect);
        recordFailedCall(exchange, dependencies);
        abortFailedCall(exchange);
      })
    ),
  );
}

/** Records the end of a request that failed unexpectedly. */
function recordFailedCall(
  exchange: CallerExchange,
  { record, index }: ServingDependencies,
): void {
  const hasBegun = exchange.hasStarted;
  record({
    callId: exchange.callId,
    route: "",
    service: "",
    status: INTERNAL_ERROR_RESPONSE.status,
    outcome: hasBegun ? "broken-off" : "failed",
    cause: "fault",
    hasBegun,
    reason: INTERNAL_ERROR_RESPONSE.message,
    attempts: [],
    durationMs: 0,
    configVersion: index()?.config.version ?? 0,
  });
}

/** Ends a request that failed unexpectedly and may have been executed. */
function abortFailedCall(exchange: CallerExchange): void {
  if (exchange.hasEnded) return;
  if (exchange.hasStarted) exchange.abort();
  else exchange.sendLocalResponse(undefined, INTERNAL_ERROR_RESPONSE);
}

/** Returns what tells whether all of a response was sent. */
function watchSending(response: ServerResponse): () => boolean {
  let isSent = false;
  response.on("finish", () => {
    // Node also tells of an end if a reset discards what is still to be sent.
    isSent = !response.req.socket.destroyed;
  });
  return () => isSent;
}
