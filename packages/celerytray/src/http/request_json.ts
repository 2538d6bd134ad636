import { Data, Effect } from "effect";
import { type Agent, request as httpRequest } from "node:http";

/**
 * What is known of a call that failed: `not-sent` never reached the server,
 * `answer-lost` may have taken effect, `refused` was answered with an error
 * status.
 */
export type HttpFailureReason = "not-sent" | "answer-lost" | "refused";

/** A call to another process failed. */
export class HttpFailure extends Data.TaggedError("HttpFailure")<{
  readonly reason: HttpFailureReason;
  readonly message: string;
  /** HTTP status, if the server answered. */
  readonly status?: number;
  /** Parsed error body, if the server answered with one. */
  readonly body?: unknown;
}> {}

/** A JSON call over HTTP. */
export interface RequestJsonOptions {
  readonly method?: "GET" | "POST";
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time until the whole answer must be there. */
  readonly timeoutMs?: number;
  readonly agent?: Agent;
}

const DEFAULT_TIMEOUT_MS = 5_000;
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/**
 * Sends one JSON request and returns the parsed answer. Fails with
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
              `No answer from ${options.url} within ${timeoutMs} ms; check that it is up`,
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
    const fail = (reason: HttpFailureReason, message: string) =>
      resume(Effect.fail(new HttpFailure({ reason, message })));
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
      // A pooled socket never connects again; a listener on it would stay.
      if (!connected) socket.once("connect", () => connected = true);
    });
    request.on("error", (error) =>
      fail(
        connected ? "answer-lost" : "not-sent",
        `Call to ${options.url} failed: ${error.message}; check that it is up`,
      ));
    request.on("response", (response) => {
      const chunks: Buffer[] = [];
      let receivedBytes = 0;
      response.on("data", (chunk: Buffer) => {
        receivedBytes += chunk.length;
        if (receivedBytes > MAX_ANSWER_BYTES) request.destroy();
        else chunks.push(chunk);
      });
      response.on("error", (error) => fail("answer-lost", error.message));
      response.on(
        "aborted",
        () =>
          fail("answer-lost", `Answer from ${options.url} was cut off; retry`),
      );
      response.on("end", () =>
        resume(parseAnswer(options.url, {
          status: response.statusCode ?? 0,
          text: Buffer.concat(chunks).toString("utf8"),
        })));
    });
    request.end(payload);
    return Effect.sync(() => request.destroy());
  });
}

interface RawAnswer {
  readonly status: number;
  readonly text: string;
}

function parseAnswer(
  url: string,
  answer: RawAnswer,
): Effect.Effect<unknown, HttpFailure> {
  let body: unknown;
  try {
    body = answer.text === "" ? undefined : JSON.parse(answer.text);
  } catch {
    return Effect.fail(
      new HttpFailure({
        reason: "answer-lost",
        status: answer.status,
        message: `Answer from ${url} is not JSON; check the address`,
      }),
    );
  }
  if (answer.status >= 200 && answer.status < 300) return Effect.succeed(body);
  return Effect.fail(
    new HttpFailure({
      reason: "refused",
      status: answer.status,
      body,
      message: `${url} answered ${answer.status}; see its error body`,
    }),
  );
}
