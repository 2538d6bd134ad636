import type { ChatCompletionRequest, EngineOrder } from "@celerytray/schema";
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

/** Serves an engine over HTTP; `POST /faults` switches faults. */
export function serveFakeEngine(
  options: FakeEngineOptions & { readonly address: string },
): Promise<FakeServer> {
  const engine = new FakeEngine(options);
  return createJsonServer({
    address: options.address,
    handle: (call) => handle(call, engine),
  });
}

async function handle(
  call: JsonCall,
  engine: FakeEngine,
): Promise<JsonAnswer | undefined> {
  const nowMs = Date.now();
  switch (call.path) {
    case "/faults":
      engine.faults = call.body as FakeEngineFaults;
      return { status: 200, body: engine.faults };
    case "/status":
      return { status: 200, body: engine.status(nowMs) };
    case "/orders": {
      const isTaken = engine.takeOrder(call.body as EngineOrder, nowMs);
      return isTaken
        ? { status: 200, body: {} }
        : { status: 409, body: { error: "stale fencing number" } };
    }
    case "/v1/chat/completions":
      return await complete(call, engine);
    default:
      return { status: 404, body: { error: "no such path" } };
  }
}

async function complete(
  call: JsonCall,
  engine: FakeEngine,
): Promise<JsonAnswer | undefined> {
  const { headers } = call.request;
  const target = {
    replicaId: String(headers["celerytray-replica-id"]),
    fencingNumber: Number(headers["celerytray-fencing-number"]),
  };
  if (!engine.accepts(target, Date.now())) {
    return { status: 409, body: { error: "not this replica" } };
  }
  engine.runningRequests += 1;
  try {
    await streamTokens(call, engine);
  } finally {
    engine.runningRequests -= 1;
  }
  return undefined;
}

async function streamTokens(
  call: JsonCall,
  engine: FakeEngine,
): Promise<void> {
  const { response, request } = call;
  const body = call.body as ChatCompletionRequest;
  const requestId = String(request.headers["x-request-id"]);
  const tokens = generateTokens(body);
  response.writeHead(200, { "content-type": "text/event-stream" });
  for (let index = findResumeIndex(call); index < tokens.length; index++) {
    await sleep(engine.options.tokenIntervalMs);
    if (response.destroyed) return;
    if (index === engine.faults.cutAfterTokens) {
      response.destroy();
      return;
    }
    if (index === engine.faults.silentAfterTokens) {
      await new Promise((closed) => response.once("close", closed));
      return;
    }
    const owner = index === engine.faults.crossAfterTokens
      ? "req-of-another-caller"
      : requestId;
    const chunk = createChunk(body, { tokens, index });
    response.write(`id: ${owner}:${index}\ndata: ${chunk}\n\n`);
  }
  response.end("data: [DONE]\n\n");
}

function findResumeIndex(call: JsonCall): number {
  const lastEventId = call.request.headers["last-event-id"];
  if (typeof lastEventId !== "string") return 0;
  return Number(lastEventId.slice(lastEventId.lastIndexOf(":") + 1)) + 1;
}

function createChunk(
  request: ChatCompletionRequest,
  token: { readonly tokens: readonly string[]; readonly index: number },
): string {
  const isLast = token.index === token.tokens.length - 1;
  return JSON.stringify({
    object: "chat.completion.chunk",
    model: request.model,
    choices: [{
      index: 0,
      delta: { content: token.tokens[token.index] },
      finish_reason: isLast ? "stop" : null,
    }],
  });
}
