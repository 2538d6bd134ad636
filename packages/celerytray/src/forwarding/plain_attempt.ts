import { Effect } from "effect";
import {
  type Agent,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  request as httpRequest,
} from "node:http";
import {
  ByteCollector,
  hasDeclaredEnd,
  parseAddress,
  selectRequestHeaders,
  selectResponseHeaders,
  watchExchange,
} from "../http/index.ts";

/** A plain service's complete response. */
export interface PlainResponse {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
}

/** Outcome of one attempt. */
export type PlainOutcome =
  | { readonly kind: "answered"; readonly response: PlainResponse }
  | { readonly kind: "not-run"; readonly message: string }
  /** The instance began to respond, but the response is incomplete. */
  | { readonly kind: "ran"; readonly message: string }
  | { readonly kind: "unknown"; readonly message: string };

/** Options of one attempt on one instance. */
export interface PlainAttemptOptions {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly requestId: string;
  readonly timeoutMs: number;
  /** Connection pool; without one, a new connection is opened. */
  readonly agent?: Agent;
  /** The claim's offset in the log, for back ends that check it. */
  readonly fencingNumber?: number;
  /** Called once connected, before the first byte; if false, nothing is sent. */
  readonly mayDispatch?: () => boolean;
}

type UnansweredKind = "not-run" | "ran" | "unknown";

interface Exchange {
  readonly options: PlainAttemptOptions;
  /** Outcome if the attempt ends now. */
  state: UnansweredKind;
}

const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
const REQUEST_ID_PATTERN = /^req-[0-9a-f-]{36}$/;

/** Sends a call once and returns its outcome. */
export function runPlainAttempt(
  options: PlainAttemptOptions,
): Effect.Effect<PlainOutcome> {
  return Effect.suspend(() => {
    const exchange: Exchange = { options, state: "not-run" };
    return send(exchange).pipe(
      Effect.timeoutOrElse({
        duration: options.timeoutMs,
        orElse: () =>
          Effect.sync((): PlainOutcome => ({
            kind: exchange.state,
            message: `No response within ${options.timeoutMs} ms`,
          })),
      }),
    );
  });
}

function send(exchange: Exchange): Effect.Effect<PlainOutcome> {
  const { options } = exchange;
  return Effect.callback<PlainOutcome>((resume) => {
    const settle = (outcome: PlainOutcome) => resume(Effect.succeed(outcome));
    const request = httpRequest({
      ...parseAddress(options.address),
      method: options.method,
      path: options.path,
      agent: options.agent ?? false,
      headers: createHeaders(options),
    });
    const dispatch = () => {
      if (options.mayDispatch?.() === false) {
        request.destroy(
          new Error("The dispatch deadline passed before the call was sent"),
        );
        return;
      }
      exchange.state = "unknown";
      request.end(options.body);
    };
    request.on("socket", (socket) => {
      if (socket.connecting) socket.once("connect", dispatch);
      else dispatch();
    });
    watchExchange(request, {
      onFailure: (error) =>
        settle({ kind: exchange.state, message: error.message }),
      onResponse: (response) => {
        exchange.state = "ran";
        return readResponse(response, {
          settle,
          method: options.method,
          requestId: options.requestId,
        });
      },
    });
    return Effect.sync(() => {
      // A reset drops the bytes that the kernel would otherwise still send.
      if (options.agent === undefined) request.socket?.resetAndDestroy();
      request.destroy();
    });
  });
}

function createHeaders(options: PlainAttemptOptions): OutgoingHttpHeaders {
  const hasBody = options.body.length > 0 ||
    options.headers["content-length"] !== undefined;
  return {
    ...selectRequestHeaders(options.headers),
    ...(hasBody ? { "content-length": options.body.length } : {}),
    ...(options.fencingNumber === undefined
      ? {}
      : { "celerytray-fencing-number": options.fencingNumber }),
    "x-request-id": options.requestId,
  };
}

interface ResponseReader {
  readonly settle: (outcome: PlainOutcome) => void;
  readonly method: string;
  readonly requestId: string;
}

/** Reads a response; returns what to call once it is complete. */
function readResponse(
  response: IncomingMessage,
  reader: ResponseReader,
): () => void {
  const { settle } = reader;
  const stop = (message: string, kind: UnansweredKind = "ran") => {
    settle({ kind, message });
    response.destroy();
    return () => {};
  };
  if (namesOtherRequest(response, reader.requestId)) {
    return stop(
      "The instance sent the response to another request",
      "unknown",
    );
  }
  if (reader.method !== "HEAD" && !hasDeclaredEnd(response)) {
    return stop(
      "The response has no declared length; send content-length or chunks",
    );
  }
  const collected = new ByteCollector();
  response.on("data", (chunk: Buffer) => {
    if (collected.bytes + chunk.length <= MAX_RESPONSE_BYTES) {
      collected.add(chunk);
    } else stop(`The response exceeds ${MAX_RESPONSE_BYTES} bytes`);
  });
  return () =>
    settle({
      kind: "answered",
      response: {
        status: response.statusCode ?? 0,
        headers: createResponseHeaders(response, reader.method),
        body: collected.take(),
      },
    });
}

/** Whether the response has another request's id; services may omit the id. */
function namesOtherRequest(
  response: IncomingMessage,
  requestId: string,
): boolean {
  const responseId = response.headers["x-request-id"];
  return typeof responseId === "string" && responseId !== requestId &&
    REQUEST_ID_PATTERN.test(responseId);
}

function createResponseHeaders(
  response: IncomingMessage,
  method: string,
): OutgoingHttpHeaders {
  const headers = selectResponseHeaders(response.headers);
  const declared = response.headers["content-length"];
  if (method === "HEAD" && declared !== undefined) {
    headers["content-length"] = declared;
  }
  return headers;
}
