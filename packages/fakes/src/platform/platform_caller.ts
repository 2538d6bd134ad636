import { type Agent, type IncomingMessage, request } from "node:http";

/** A request as callers of the platform send it. */
export interface PlatformCall {
  readonly address: string;
  readonly path: string;
  readonly callId: string;
  readonly key: string;
  readonly prompt: string;
  readonly deadlineMs: number;
  readonly agent: Agent | false;
  readonly model?: string;
  /** Tokens of the prompt, and of the answer at most, as in the header. */
  readonly tokenCount?: string;
  /** Ids and tokens of the prompt's parts, as in the header. */
  readonly promptParts?: string;
  /** Called as the head of the response arrives; may close or pause it. */
  readonly onResponse?: (response: IncomingMessage) => void;
}

/** A response as the caller received it. */
export interface PlatformAnswer {
  /** HTTP status; 0 if no response headers arrived. */
  readonly status: number;
  readonly body: string;
  /** Whether the response body ended as its HTTP framing requires. */
  readonly isWhole: boolean;
  /** The `attempt-id` of the response. */
  readonly answeredId?: string;
  /** Local port of the caller's connection. */
  readonly localPort?: number;
  /** Error of the connection, if one occurred. */
  readonly problem?: string;
}

const HOST_NAME = "a.example";
/** Time that callers wait beyond the deadline that they send. */
const WAIT_MARGIN_MS = 3_000;

/** Sends one request to the platform; resolves once the response has ended or failed. */
export function callPlatform(call: PlatformCall): Promise<PlatformAnswer> {
  const [host, port] = call.address.split(":");
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port: Number(port),
      path: call.path,
      method: "POST",
      agent: call.agent,
      headers: {
        host: HOST_NAME,
        "attempt-id": call.callId,
        "deadline-ms": String(call.deadlineMs),
        "x-api-key": call.key,
        ...(call.model === undefined ? {} : { model: call.model }),
        ...(call.tokenCount === undefined
          ? {}
          : { "token-count": call.tokenCount }),
        ...(call.promptParts === undefined
          ? {}
          : { "prompt-prefix": call.promptParts }),
      },
    });
    let localPort: number | undefined;
    const finish = (answer: PlatformAnswer) => {
      clearTimeout(timer);
      resolve({ ...answer, ...(localPort === undefined ? {} : { localPort }) });
    };
    const timer = setTimeout(
      () =>
        outgoing.destroy(
          new Error("no complete response 3 s after the deadline"),
        ),
      call.deadlineMs + WAIT_MARGIN_MS,
    );
    outgoing.on("socket", (socket) => {
      const recordPort = () => localPort = socket.localPort;
      if (socket.connecting) socket.once("connect", recordPort);
      else recordPort();
    });
    outgoing.on("error", ({ message }) => {
      finish({ status: 0, body: "", isWhole: false, problem: message });
    });
    outgoing.on("response", (response) => {
      readAnswer(response, finish);
      call.onResponse?.(response);
    });
    outgoing.end(call.prompt);
  });
}

function readAnswer(
  response: IncomingMessage,
  finish: (answer: PlatformAnswer) => void,
): void {
  let body = "";
  let problem: string | undefined;
  response.setEncoding("utf8").on("data", (text: string) => body += text);
  response.on("error", ({ message }) => problem = message);
  response.on("close", () => {
    const answeredId = response.headers["attempt-id"];
    finish({
      status: response.statusCode ?? 0,
      body,
      isWhole: response.complete,
      ...(typeof answeredId === "string" ? { answeredId } : {}),
      ...(problem === undefined ? {} : { problem }),
    });
  });
}
