import { Effect } from "effect";
import {
  type Agent,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  request as httpRequest,
} from "node:http";
import {
  parseAddress,
  selectAnswerHeaders,
  selectRequestHeaders,
} from "../http/index.ts";

/** A plain service's whole answer. */
export interface PlainAnswer {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
}

/** What is known of one attempt. */
export type PlainOutcome =
  | { readonly kind: "answered"; readonly answer: PlainAnswer }
  | { readonly kind: "not-run"; readonly message: string }
  /** The instance began to answer, but the answer is not whole. */
  | { readonly kind: "ran"; readonly message: string }
  | { readonly kind: "unknown"; readonly message: string };

/** One attempt on one instance. */
export interface PlainAttemptOptions {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly requestId: string;
  readonly timeoutMs: number;
  /** Pool to use; a fresh connection without one. */
  readonly agent?: Agent;
  /** Claim's place in the log, for back ends that check it. */
  readonly fencingNumber?: number;
  /** Asked once connected, before the first byte; false sends nothing. */
  readonly mayDispatch?: () => boolean;
}

type UnansweredKind = "not-run" | "ran" | "unknown";

interface Exchange {
  readonly options: PlainAttemptOptions;
  /** What is known if the attempt ends now. */
  state: UnansweredKind;
}

const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const OWN_REQUEST_ID = /^req-[0-9a-f-]{36}$/;
const BODILESS_STATUSES = [204, 304];

/** Sends a call once and says what is known of it afterwards. */
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
            message: `No answer within ${options.timeoutMs} ms`,
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
        request.destroy(new Error("The dispatch deadline has passed"));
        return;
      }
      exchange.state = "unknown";
      request.end(options.body);
    };
    request.on("socket", (socket) => {
      if (socket.connecting) socket.once("connect", dispatch);
      else dispatch();
    });
    request.on(
      "error",
      (error) => settle({ kind: exchange.state, message: error.message }),
    );
    request.on("response", (response) => {
      exchange.state = "ran";
      readAnswer(response, {
        settle,
        method: options.method,
        requestId: options.requestId,
      });
    });
    return Effect.sync(() => {
      // A reset drops bytes that the kernel would go on sending.
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

interface AnswerReading {
  readonly settle: (outcome: PlainOutcome) => void;
  readonly method: string;
  readonly requestId: string;
}

function readAnswer(response: IncomingMessage, reading: AnswerReading): void {
  const { settle } = reading;
  const stop = (message: string, kind: UnansweredKind = "ran") => {
    settle({ kind, message });
    response.destroy();
  };
  if (isForeign(response, reading.requestId)) {
    stop("The instance answered another request", "unknown");
    return;
  }
  if (!hasKnownEnd(response, reading.method)) {
    stop("The answer has no length; send content-length or chunks");
    return;
  }
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  response.on("data", (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes <= MAX_ANSWER_BYTES) chunks.push(chunk);
    else stop(`The answer exceeds ${MAX_ANSWER_BYTES} bytes`);
  });
  response.on("end", () =>
    settle({
      kind: "answered",
      answer: {
        status: response.statusCode ?? 0,
        headers: createAnswerHeaders(response, reading.method),
        body: Buffer.concat(chunks),
      },
    }));
  const onCut = () =>
    settle({ kind: "ran", message: "The answer was cut off" });
  response.on("error", onCut);
  response.on("close", onCut);
}

/** Whether the answer names another request; services may omit the name. */
function isForeign(response: IncomingMessage, requestId: string): boolean {
  const answeredId = response.headers["x-request-id"];
  return typeof answeredId === "string" && answeredId !== requestId &&
    OWN_REQUEST_ID.test(answeredId);
}

/** Whether a cut can be told from the answer's end. */
function hasKnownEnd(response: IncomingMessage, method: string): boolean {
  const { headers, statusCode = 0 } = response;
  return method === "HEAD" || BODILESS_STATUSES.includes(statusCode) ||
    headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

function createAnswerHeaders(
  response: IncomingMessage,
  method: string,
): OutgoingHttpHeaders {
  const headers = selectAnswerHeaders(response.headers);
  const declared = response.headers["content-length"];
  if (method === "HEAD" && declared !== undefined) {
    headers["content-length"] = declared;
  }
  return headers;
}
