import { expect } from "earl";
import { type ConfigSet } from "@celerytray/schema";
import { Context, Effect } from "effect";
import { createHash } from "node:crypto";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Right } from "purify-ts";
import { after, describe, it } from "node:test";
import { CallSlots } from "../admission/index.ts";
import { createAttemptState } from "../entry/entry_attempts.ts";
import {
  createRawResponse,
  FOREIGN_BYTES,
  startRawServer,
} from "../http/test_raw_server.ts";
import { createCallerHandler } from "./caller_handler.ts";
import { InFlightCalls } from "./in_flight_calls.ts";

const KEY = "key-1";
const TOKENS = [0, 1, 2, 3];
const LAST_TOKEN = 3;
const LAST_CHUNK = "0\r\n\r\n";
const NO_CHUNK_SIZE = "zz\r\n";
const SETTLE_MS = 50;
const servers: Server[] = [];

after(() => {
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
});

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
  const handler = createCallerHandler({
    ...createAttemptState(),
    availabilityZone: ZONE,
    maxBodyBytes: 65_536,
    router: {
      choose: (replicas, { excludedIds }) =>
        replicas.find(({ replicaId }) => excludedIds?.has(replicaId) !== true),
    },
    admission: { admit: () => Right(undefined) },
    slots: new CallSlots({ slotCountOf: () => undefined }),
    claims: {
      claim: () => Effect.never,
      recordOutcome: () => Effect.void,
    },
    calls: new InFlightCalls(),
    config: () => CONFIG,
    notReadyReason: () => undefined,
    listReadyReplicas: () =>
      replicaIds.map((replicaId) => ({
        replicaId,
        fencingNumber: 1,
        headAddress: engine.address,
        availabilityZone: ZONE,
        reportedRequests: 0,
        sentSinceReport: 0,
      })),
    listPlainInstances: () => [],
    noteSent: () => {},
    noteOutcome: () => {},
    recordEvent: (kind) =>
      Effect.sync(() => {
        if (kind.startsWith("attempt.")) events.push(kind);
      }),
  }, Context.empty());
  const server = createServer(handler);
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return { ask: () => ask(port), requests: engine.requests, events };
}

const ZONE = "z";
const CONFIG = {
  availabilityZones: { [ZONE]: {} },
  deployments: { local: { displayName: "Local", weighting: "group-downtime" } },
  services: {
    drafter: {
      kind: "model",
      deployment: "local",
      replicaCount: 2,
      instancesPerReplica: 1,
      model: "test",
    },
  },
  organisations: {
    owner: {
      apiKeySha256: [createHash("sha256").update(KEY).digest("hex")],
      services: ["drafter"],
    },
  },
} as ConfigSet;

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
