import { Data, Effect } from "effect";
import { type Agent, request as httpRequest } from "node:http";
import { ByteCollector } from "./byte_collector.ts";
import { watchExchange } from "./watch_exchange.ts";

/**
 * How a call failed: `not-sent` never reached the server, `answer-lost` may
 * have taken effect, `refused` got a response with an error status.
 */
export type HttpFailureReason = "not-sent" | "answer-lost" | "refused";

/** A call to another process failed. */
export class HttpFailure extends Data.TaggedError("HttpFailure")<{
  readonly reason: HttpFailureReason;
  readonly message: string;
  /** HTTP status, if the server responded. */
  readonly status?: number;
  /** Parsed error body, if the server sent one. */
  readonly body?: unknown;
}> {}

/** Options of a JSON call over HTTP. */
export interface RequestJsonOptions {
  readonly method?: "GET" | "POST";
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time within which the whole response must arrive. */
  readonly timeoutMs?: number;
  readonly agent?: Agent;
}

const DEFAULT_TIMEOUT_MS = 5_000;
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/**
 * Sends one JSON request and returns the parsed response. Fails with
 * `HttpFailure`; interruption closes the connection.
 */
export function requestJson(
  options: RequestJsonOptions,
): Effect.Effect<unknown, HttpFailure> {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  return sendRequest(options).pipe(
    Effect.timeoutOrElse({
      duration: timeoutMs,
      orElse: () =>
        Effect.fail(
          new HttpFailure({
            reason: "answer-lost",
            message:
              `No response from ${options.url} within ${timeoutMs} ms; check that it is up`,
          }),
        ),
    }),
  );
}

function sendRequest(
  options: RequestJsonOptions,
): Effect.Effect<unknown, HttpFailure> {
  return Effect.callback<unknown, HttpFailure>((resume) => {
    const payload = options.body === undefined
      ? undefined
      : JSON.stringify(options.body);
    let connected = false;
    const request = httpRequest(options.url, {
      method: options.method ?? (payload === undefined ? "GET" : "POST"),
      agent: options.agent,
      headers: {
        ...options.headers,
        ...(payload === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(payload),
        }),
      },
    });
    request.on("socket", (socket) => {
      connected = !socket.connecting;
      // A pooled socket does not connect again, so a listener on it would leak.
      if (!connected) socket.once("connect", () => connected = true);
    });
    const fail = (cause: string) =>
      resume(Effect.fail(
        new HttpFailure({
          reason: connected ? "answer-lost" : "not-sent",
          message:
            `Call to ${options.url} failed: ${cause}; check that it is up`,
        }),
      ));
    watchExchange(request, {
      onFailure: ({ message }) => fail(message),
      onResponse: (response) => {
        const collected = new ByteCollector();
        response.on("data", (chunk: Buffer) => {
          if (collected.bytes + chunk.length <= MAX_RESPONSE_BYTES) {
            collected.add(chunk);
          } else {
            fail(`the response exceeds ${MAX_RESPONSE_BYTES} bytes`);
            request.destroy();
          }
        });
        return () =>
          resume(parseResponse(options.url, {
            status: response.statusCode ?? 0,
            text: collected.take().toString("utf8"),
          }));
      },
    });
    request.end(payload);
    return Effect.sync(() => request.destroy());
  });
}

interface RawResponse {
  readonly status: number;
  readonly text: string;
}

function parseResponse(
  url: string,
  raw: RawResponse,
): Effect.Effect<unknown, HttpFailure> {
  let body: unknown;
  try {
    body = raw.text === "" ? undefined : JSON.parse(raw.text);
  } catch {
    return Effect.fail(
      new HttpFailure({
        reason: "answer-lost",
        status: raw.status,
        message: `The response from ${url} is not JSON; check the address`,
      }),
    );
  }
  if (raw.status >= 200 && raw.status < 300) return Effect.succeed(body);
  return Effect.fail(
    new HttpFailure({
      reason: "refused",
      status: raw.status,
      body,
      message: `${url} responded with status ${raw.status}; see its error body`,
    }),
  );
}
