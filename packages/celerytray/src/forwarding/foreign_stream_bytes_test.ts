import { expect } from "earl";
import { describe, it } from "node:test";
import {
  createRawResponse,
  FOREIGN_BYTES,
  startRawServer,
} from "../http/test_raw_server.ts";
import { KEY, startCallerEntry } from "./test_caller_entry.ts";

const TOKENS = [0, 1, 2, 3];
const LAST_TOKEN = 3;
const LAST_CHUNK = "0\r\n\r\n";
const NO_CHUNK_SIZE = "zz\r\n";
const SETTLE_MS = 50;

describe("a stream of tokens and foreign bytes, in one read", () => {
  // Guards against a second run of a request whose complete answer had arrived.
  it("is complete after one run if the stream is", async () => {
    const { ask, requests, events } = await startEntry((request) =>
      createStream(request, TOKENS) + FOREIGN_BYTES
    );
    expect(await ask()).toEqual({ status: 200, tokens: TOKENS, isWhole: true });
    expect(requests.length).toEqual(1);
    expect(events).toEqual(["attempt.started", "attempt.finished"]);
  });

  // Guards against tokens that are asked for again though the caller has them.
  it("is resumed after the last token that came before them", async () => {
    const { ask, requests, events } = await startEntry((request, index) =>
      index === 0
        ? createStart(request, [0, 1]) + NO_CHUNK_SIZE
        : createStream(request, [2, 3])
    );
    expect(await ask()).toEqual({ status: 200, tokens: TOKENS, isWhole: true });
    expect(requests.map(readLastEventId)).toEqual([undefined, 1]);
    expect(events).toEqual([
      "attempt.started",
      "attempt.cut",
      "attempt.started",
      "attempt.finished",
    ]);
  });

  // Guards against a process that ends as it writes tokens behind an answer's
  // end.
  it("is broken off with an error behind its tokens if none can resume", async () => {
    const { ask } = await startEntry(
      (request) => createStart(request, [0, 1]) + NO_CHUNK_SIZE,
      { replicaIds: ["r-0"] },
    );
    expect(await ask()).toEqual({
      status: 200,
      tokens: [0, 1],
      isWhole: false,
    });
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  });

  // Guards against a refusal that counts as a run that was cut.
  it("is refused after one attempt if an engine calls it invalid", async () => {
    const { ask, requests } = await startEntry(() =>
      createRawResponse({ status: 400, body: "{}" }) + FOREIGN_BYTES
    );
    expect((await ask()).status).toEqual(400);
    expect(requests.length).toEqual(1);
  });
});

/** Starts an entry before replicas that write each response at once. */
async function startEntry(
  respond: (request: string, index: number) => string,
  { replicaIds = ["r-0", "r-1"] }: { readonly replicaIds?: string[] } = {},
) {
  const engine = await startRawServer(respond);
  const events: string[] = [];
  const { port } = await startCallerEntry({
    engineAddress: engine.address,
    replicaIds,
    onAttemptEvent: (kind) => events.push(kind),
  });
  return { ask: () => ask(port), requests: engine.requests, events };
}

async function ask(port: number) {
  const response = await fetch(
    `http://127.0.0.1:${port}/v1/chat/completions`,
    {
      method: "POST",
      headers: { authorization: `Bearer ${KEY}` },
      body: JSON.stringify({
        model: "drafter",
        stream: true,
        messages: [{ role: "user", content: "x" }],
      }),
    },
  );
  const text = await response.text();
  return {
    status: response.status,
    tokens: [...text.matchAll(/^id: \S+:(\d+)$/gm)].map(([, id]) => Number(id)),
    isWhole: text.endsWith("data: [DONE]\n\n"),
  };
}

function createStart(request: string, tokens: readonly number[]): string {
  const id = /^x-request-id: (\S+)/im.exec(request)?.[1];
  const chunks = tokens.map((token) => {
    const choice = {
      delta: { content: String(token) },
      finish_reason: token === LAST_TOKEN ? "stop" : null,
    };
    const data = JSON.stringify({ id, choices: [choice] });
    return createChunk(`id: ${id}:${token}\ndata: ${data}\n\n`);
  });
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
    `Transfer-Encoding: chunked\r\n\r\n${chunks.join("")}`;
}

function createStream(request: string, tokens: readonly number[]): string {
  return createStart(request, tokens) + createChunk("data: [DONE]\n\n") +
    LAST_CHUNK;
}

function createChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function readLastEventId(request: string): number | undefined {
  const id = /^last-event-id: \S+:(\d+)/im.exec(request)?.[1];
  return id === undefined ? undefined : Number(id);
}
