import { Data, Effect } from "effect";
import { type Agent, type IncomingHttpHeaders, request } from "node:http";
import {
  ByteCollector,
  parseAddress,
  watchExchange,
  watchFraming,
} from "../http/index.ts";

/** A request got no complete response. */
export class CallFailure extends Data.TaggedError("CallFailure")<{
  readonly message: string;
  /**
   * `refused`: nothing listens on the address. `not-sent`: no connection was
   * made. `reset`: one was, and reset before the request was sent.
   * `answer-lost`: the request may have run.
   */
  readonly reason: "refused" | "not-sent" | "reset" | "answer-lost";
}> {}

/** A request to the store or an instance, with a body held in memory. */
export interface HttpRequest {
  readonly address: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer;
  readonly timeoutMs: number;
  readonly agent: Agent | false;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Exceeds a page of the store: up to 1 MB, to which base64 adds a third. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Delay of a timer above which the event loop counts as blocked. */
const BLOCKED_LOOP_MS = 60;

/**
 * Calls `onTimeout` after a time, unless stopped. If the event loop was
 * blocked, the response may have arrived unread, so the timer runs once more.
 */
function startTimer(timeoutMs: number, onTimeout: () => void): () => void {
  const startedAtMs = performance.now();
  let timer = setTimeout(() => {
    const lateMs = performance.now() - startedAtMs - timeoutMs;
    if (lateMs < BLOCKED_LOOP_MS) onTimeout();
    else timer = setTimeout(onTimeout, timeoutMs);
  }, timeoutMs);
  return () => clearTimeout(timer);
}

/**
 * Sends a request and reads the complete response. Interruption closes the
 * connection.
 */
export function sendRequest(
  options: HttpRequest,
): Effect.Effect<HttpResponse, CallFailure> {
  return Effect.callback<HttpResponse, CallFailure>((resume) => {
    let reason: CallFailure["reason"] = "not-sent";
    const fail = (message: string) =>
      resume(Effect.fail(
        new CallFailure({
          reason,
          message:
            `${options.method} ${options.path} at ${options.address}: ${message}`,
        }),
      ));
    const sent = request({
      ...parseAddress(options.address),
      method: options.method,
      path: options.path,
      agent: options.agent,
      headers: {
        ...options.headers,
        ...(options.method === "GET"
          ? {}
          : { "content-length": options.body?.length ?? 0 }),
      },
    });
    sent.on("socket", (socket) => {
      const markSent = () => reason = "answer-lost";
      if (socket.connecting) socket.once("connect", markSent);
      else markSent();
    });
    watchExchange(sent, {
      onFailure: (error) => {
        const { code } = error as NodeJS.ErrnoException;
        if (code === "ECONNREFUSED") reason = "refused";
        if (code === "ECONNRESET" && reason === "not-sent") reason = "reset";
        fail(error.message);
      },
      onResponse: (response) => {
        const collected = new ByteCollector();
        response.on("data", (chunk: Buffer) => {
          if (collected.bytes + chunk.length <= MAX_RESPONSE_BYTES) {
            collected.add(chunk);
            return;
          }
          collected.clear();
          fail(`the response exceeds ${MAX_RESPONSE_BYTES} bytes`);
          sent.destroy();
        });
        return () =>
          resume(Effect.succeed({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: collected.take(),
          }));
      },
    });
    watchFraming(sent, (message) => {
      fail(message);
      sent.destroy();
    });
    const stopTimer = startTimer(options.timeoutMs, () => {
      fail(`no answer within ${options.timeoutMs} ms`);
      sent.destroy();
    });
    sent.on("close", stopTimer);
    sent.end(options.body);
    return Effect.sync(() => sent.destroy());
  });
}
