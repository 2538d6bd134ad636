import { Data, Effect } from "effect";
import {
  type Agent,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request,
} from "node:http";
import { parseAddress } from "../http/index.ts";

/** A call got no whole answer. */
export class CallFailure extends Data.TaggedError("CallFailure")<{
  readonly message: string;
  /** `refused`: no listener; `not-sent`: no connection; else it may have run. */
  readonly reason: "refused" | "not-sent" | "answer-lost";
}> {}

/** A small call to the store or an instance. */
export interface ByteCall {
  readonly address: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer;
  readonly timeoutMs: number;
  readonly agent: Agent | false;
}

/** A whole answer. */
export interface ByteAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Longest answer; a page of the store has 1 MB, and its encoding adds a third. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** Delay of a timer that tells that this process itself was held up. */
const HELD_UP_MS = 60;

/**
 * Calls after a time, unless stopped. A process that was held up may have the
 * answer waiting unread, so it gives the time once more.
 */
function startTimer(timeoutMs: number, onTimeout: () => void): () => void {
  const startedAtMs = performance.now();
  let timer = setTimeout(() => {
    const lateMs = performance.now() - startedAtMs - timeoutMs;
    if (lateMs < HELD_UP_MS) onTimeout();
    else timer = setTimeout(onTimeout, timeoutMs);
  }, timeoutMs);
  return () => clearTimeout(timer);
}

/** Sends a call and reads its whole answer; interruption closes the connection. */
export function exchangeBytes(
  call: ByteCall,
): Effect.Effect<ByteAnswer, CallFailure> {
  return Effect.callback<ByteAnswer, CallFailure>((resume) => {
    let reason: CallFailure["reason"] = "not-sent";
    const fail = (message: string) =>
      resume(Effect.fail(
        new CallFailure({
          reason,
          message: `${call.method} ${call.path} at ${call.address}: ${message}`,
        }),
      ));
    const sent = request({
      ...parseAddress(call.address),
      method: call.method,
      path: call.path,
      agent: call.agent,
      headers: {
        ...call.headers,
        ...(call.method === "GET"
          ? {}
          : { "content-length": call.body?.length ?? 0 }),
      },
    });
    sent.on("socket", (socket) => {
      const noteSent = () => reason = "answer-lost";
      if (socket.connecting) socket.once("connect", noteSent);
      else noteSent();
    });
    sent.on("error", (error) => {
      if ((error as NodeJS.ErrnoException).code === "ECONNREFUSED") {
        reason = "refused";
      }
      fail(error.message);
    });
    sent.on("response", (response: IncomingMessage) => {
      const chunks: Buffer[] = [];
      let receivedBytes = 0;
      response.on("data", (chunk: Buffer) => {
        receivedBytes += chunk.length;
        chunks.push(chunk);
        if (receivedBytes <= MAX_ANSWER_BYTES) return;
        chunks.length = 0;
        fail(`the answer exceeds ${MAX_ANSWER_BYTES} bytes`);
        sent.destroy();
      });
      response.on("error", (error) => fail(error.message));
      response.on("end", () =>
        resume(Effect.succeed({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks),
        })));
    });
    const stopTimer = startTimer(call.timeoutMs, () => {
      fail(`no answer within ${call.timeoutMs} ms`);
      sent.destroy();
    });
    sent.on("close", stopTimer);
    sent.end(call.body);
    return Effect.sync(() => sent.destroy());
  });
}
