import { type Agent, type IncomingMessage, request } from "node:http";

/** A request as the platform's callers send it. */
export interface PlatformCall {
  readonly address: string;
  readonly path: string;
  readonly callId: string;
  readonly key: string;
  readonly prompt: string;
  readonly deadlineMs: number;
  readonly agent: Agent | false;
  readonly model?: string;
}

/** What a caller saw of the answer. */
export interface PlatformAnswer {
  /** 0 where no head of an answer came. */
  readonly status: number;
  readonly body: string;
  /** Whether the answer came to its end as its framing has it. */
  readonly isWhole: boolean;
  /** The id that the answer names. */
  readonly answeredId?: string;
  /** The port that the caller sent from. */
  readonly localPort?: number;
  readonly problem?: string;
}

const HOST_NAME = "a.example";
/** Callers wait that much longer than the deadline that they name. */
const WAIT_MARGIN_MS = 3_000;

/** Calls the platform as its callers do; resolves once the answer has ended. */
export function callPlatform(call: PlatformCall): Promise<PlatformAnswer> {
  const [host, port] = call.address.split(":");
  return new Promise((resolve) => {
    const sent = request({
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
      },
    });
    let localPort: number | undefined;
    const end = (answer: PlatformAnswer) => {
      clearTimeout(timer);
      resolve({ ...answer, ...(localPort === undefined ? {} : { localPort }) });
    };
    const timer = setTimeout(
      () => sent.destroy(new Error("no answer in time")),
      call.deadlineMs + WAIT_MARGIN_MS,
    );
    sent.on("socket", (socket) => {
      const notePort = () => localPort = socket.localPort;
      if (socket.connecting) socket.once("connect", notePort);
      else notePort();
    });
    sent.on("error", ({ message }) => {
      end({ status: 0, body: "", isWhole: false, problem: message });
    });
    sent.on("response", (response) => readAnswer(response, end));
    sent.end(call.prompt);
  });
}

function readAnswer(
  response: IncomingMessage,
  end: (answer: PlatformAnswer) => void,
): void {
  let body = "";
  let problem: string | undefined;
  response.setEncoding("utf8").on("data", (text: string) => body += text);
  response.on("error", ({ message }) => problem = message);
  response.on("close", () => {
    const answeredId = response.headers["attempt-id"];
    end({
      status: response.statusCode ?? 0,
      body,
      isWhole: response.complete,
      ...(typeof answeredId === "string" ? { answeredId } : {}),
      ...(problem === undefined ? {} : { problem }),
    });
  });
}
