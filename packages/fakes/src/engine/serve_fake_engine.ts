import type { ChatCompletionRequest, EngineOrder } from "@celerytray/schema";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createJsonServer,
  type FakeServer,
  type JsonAnswer,
  type JsonCall,
} from "../http/index.ts";
import {
  FakeEngine,
  type FakeEngineFaults,
  type FakeEngineOptions,
} from "./fake_engine.ts";
import { generateTokens } from "./generate_tokens.ts";
import {
  createFaultyStep,
  formatEvent,
  type StreamFault,
  type StreamFaultKind,
} from "./stream_faults.ts";

/** Faults of an engine and of its streams. */
export interface EngineFaults extends FakeEngineFaults {
  readonly stream?: StreamFault;
}

/** Options of a fake engine that serves HTTP. */
export interface ServeFakeEngineOptions extends FakeEngineOptions {
  readonly address: string;
  /** Called when a stream stops sending, with its connection open. */
  readonly onSilent?: () => void;
  /** Called at the start of each stream, with the index of its first token. */
  readonly onStream?: (firstIndex: number) => void;
  /** Called for each generated token. */
  readonly onToken?: () => void;
}

interface ServedEngine {
  readonly engine: FakeEngine;
  readonly options: ServeFakeEngineOptions;
  streamFault: StreamFault | undefined;
}

/** Serves a fake engine over HTTP; `POST /faults` sets its faults. */
export function serveFakeEngine(
  options: ServeFakeEngineOptions,
): Promise<FakeServer> {
  const served: ServedEngine = {
    engine: new FakeEngine(options),
    options,
    streamFault: undefined,
  };
  return createJsonServer({
    address: options.address,
    handle: (call) => handle(call, served),
  });
}

async function handle(
  call: JsonCall,
  served: ServedEngine,
): Promise<JsonAnswer | undefined> {
  const { engine } = served;
  const nowMs = Date.now();
  switch (call.path) {
    case "/faults":
      engine.faults = call.body as EngineFaults;
      served.streamFault = (call.body as EngineFaults).stream;
      return { status: 200, body: engine.faults };
    case "/status":
      return { status: 200, body: engine.status(nowMs) };
    case "/orders": {
      const isAccepted = engine.applyOrder(call.body as EngineOrder, nowMs);
      return isAccepted
        ? { status: 200, body: {} }
        : { status: 409, body: { error: "stale fencing number" } };
    }
    case "/v1/chat/completions":
      return await serveCompletion(call, served);
    default:
      return { status: 404, body: { error: "unknown path" } };
  }
}

async function serveCompletion(
  call: JsonCall,
  served: ServedEngine,
): Promise<JsonAnswer | undefined> {
  const { engine } = served;
  const { headers } = call.request;
  const target = {
    replicaId: String(headers["celerytray-replica-id"]),
    fencingNumber: Number(headers["celerytray-fencing-number"]),
  };
  if (!engine.accepts(target, Date.now())) {
    return {
      status: 409,
      body: {
        error:
          "this engine is not the ready head of the requested replica and fencing number",
      },
    };
  }
  engine.runningRequests += 1;
  try {
    await streamTokens(call, served);
  } finally {
    engine.runningRequests -= 1;
  }
  return undefined;
}

async function streamTokens(
  call: JsonCall,
  served: ServedEngine,
): Promise<void> {
  const { response, request } = call;
  const { engine, options } = served;
  const body = call.body as ChatCompletionRequest;
  const requestId = String(request.headers["x-request-id"]);
  const tokens = generateTokens(body);
  const createChunkAt = (index: number, id: string) =>
    createChunk(body, { tokens, index, id });
  const firstIndex = findResumeIndex(call);
  const fault = consumeStreamFault(served, firstIndex);
  options.onStream?.(firstIndex);
  response.writeHead(200, { "content-type": "text/event-stream" });
  for (let index = firstIndex; index < tokens.length; index++) {
    if (engine.options.tokenIntervalMs > 0) {
      await sleep(engine.options.tokenIntervalMs);
    }
    if (response.destroyed) return;
    options.onToken?.();
    const token = { requestId, index, createChunk: createChunkAt };
    const kind = findFaultAt(index, { fault, engine });
    if (kind === undefined) {
      if (!response.write(formatEvent(token, index))) await drained(response);
      continue;
    }
    const step = createFaultyStep(kind, token);
    response.write(step.text);
    if (step.then === "continue") continue;
    if (step.then === "cut") await cutAfterDelivery(response);
    else if (step.then === "end") response.end();
    else await waitInSilence(call, served);
    return;
  }
  response.end("data: [DONE]\n\n");
}

function consumeStreamFault(
  served: ServedEngine,
  firstIndex: number,
): StreamFault | undefined {
  const { streamFault } = served;
  if (streamFault === undefined || streamFault.atToken < firstIndex) {
    return undefined;
  }
  if (streamFault.streamsLeft === undefined) return streamFault;
  streamFault.streamsLeft -= 1;
  return streamFault.streamsLeft >= 0 ? streamFault : undefined;
}

function findFaultAt(
  index: number,
  faulty: {
    readonly fault: StreamFault | undefined;
    readonly engine: FakeEngine;
  },
): StreamFaultKind | undefined {
  const { cutAfterTokens, silentAfterTokens, crossAfterTokens } =
    faulty.engine.faults;
  if (index === cutAfterTokens) return "cut";
  if (index === silentAfterTokens) return "silence";
  if (index === crossAfterTokens) return "crossed-id";
  return index === faulty.fault?.atToken ? faulty.fault.kind : undefined;
}

async function waitInSilence(
  { response }: JsonCall,
  { options }: ServedEngine,
): Promise<void> {
  options.onSilent?.();
  if (response.destroyed) return;
  await new Promise((closed) => response.once("close", closed));
}

/** Closes a connection abruptly once the data written before has been sent. */
async function cutAfterDelivery(response: ServerResponse): Promise<void> {
  await new Promise((sent) => response.write(":\n\n", sent));
  response.destroy();
}

async function drained(response: ServerResponse): Promise<void> {
  await new Promise<void>((resolve) => {
    const finish = () => {
      response.off("drain", finish);
      response.off("close", finish);
      resolve();
    };
    response.on("drain", finish);
    response.on("close", finish);
  });
}

function findResumeIndex(call: JsonCall): number {
  const lastEventId = call.request.headers["last-event-id"];
  if (typeof lastEventId !== "string") return 0;
  return Number(lastEventId.slice(lastEventId.lastIndexOf(":") + 1)) + 1;
}

function createChunk(
  request: ChatCompletionRequest,
  token: {
    readonly tokens: readonly string[];
    readonly index: number;
    readonly id: string;
  },
): string {
  const isLast = token.index === token.tokens.length - 1;
  return JSON.stringify({
    id: token.id,
    object: "chat.completion.chunk",
    model: request.model,
    choices: [{
      index: 0,
      delta: { content: token.tokens[token.index] },
      finish_reason: isLast ? "stop" : null,
    }],
  });
}
