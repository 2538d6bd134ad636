import { Effect } from "effect";
import {
  type Agent,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request as httpRequest,
} from "node:http";

/** A plain service's whole answer. */
export interface PlainAnswer {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Buffer;
}

/** What is known of one attempt. */
export type PlainOutcome =
  | { readonly kind: "answered"; readonly answer: PlainAnswer }
  | { readonly kind: "not-run"; readonly message: string }
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

const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const FORWARDED_HEADERS = ["content-type", "accept", "idempotency-key"];

/** Sends a call once and says what is known of it afterwards. */
export function runPlainAttempt(
  options: PlainAttemptOptions,
): Effect.Effect<PlainOutcome> {
  return exchange(options).pipe(
    Effect.timeoutOrElse({
      duration: options.timeoutMs,
      orElse: () =>
        Effect.succeed<PlainOutcome>({
          kind: "unknown",
          message: `No answer within ${options.timeoutMs} ms`,
        }),
    }),
  );
}

function exchange(options: PlainAttemptOptions): Effect.Effect<PlainOutcome> {
  return Effect.callback<PlainOutcome>((resume) => {
    const settle = (outcome: PlainOutcome) => resume(Effect.succeed(outcome));
    const request = httpRequest(`http://${options.address}${options.path}`, {
      method: options.method,
      agent: options.agent ?? false,
      headers: createHeaders(options),
    });
    let isSent = false;
    const send = () => {
      if (options.mayDispatch?.() === false) {
        request.destroy(new Error("The dispatch deadline has passed"));
        return;
      }
      isSent = true;
      request.end(options.body);
    };
    request.on("socket", (socket) => {
      if (socket.connecting) socket.once("connect", send);
      else send();
    });
    request.on("error", (error) =>
      settle({
        kind: isSent ? "unknown" : "not-run",
        message: error.message,
      }));
    request.on("response", (response) => readAnswer(response, settle));
    return Effect.sync(() => {
      // A reset drops bytes that the kernel would go on sending.
      if (options.agent === undefined) request.socket?.resetAndDestroy();
      request.destroy();
    });
  });
}

function createHeaders(
  options: PlainAttemptOptions,
): Record<string, string | number> {
  const headers: Record<string, string | number> = {
    "content-length": options.body.length,
    "x-request-id": options.requestId,
  };
  if (options.fencingNumber !== undefined) {
    headers["celerytray-fencing-number"] = options.fencingNumber;
  }
  for (const name of FORWARDED_HEADERS) {
    const value = options.headers[name];
    if (typeof value === "string") headers[name] = value;
  }
  return headers;
}

function readAnswer(
  response: IncomingMessage,
  settle: (outcome: PlainOutcome) => void,
): void {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  response.on("data", (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes > MAX_ANSWER_BYTES) response.destroy();
    else chunks.push(chunk);
  });
  response.on("end", () =>
    settle({
      kind: "answered",
      answer: {
        status: response.statusCode ?? 0,
        contentType: response.headers["content-type"],
        body: Buffer.concat(chunks),
      },
    }));
  const onCut = () =>
    settle({ kind: "unknown", message: "The answer was cut off" });
  response.on("error", onCut);
  response.on("close", onCut);
}
