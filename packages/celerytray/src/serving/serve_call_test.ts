import { expect } from "earl";
import { Effect } from "effect";
import {
  createServer,
  type IncomingMessage,
  request,
  type RequestListener,
  type Server,
} from "node:http";
import {
  type AddressInfo,
  createServer as createRawServer,
  type Server as RawServer,
  type Socket,
} from "node:net";
import { after, describe, it } from "node:test";
import { steadyMs } from "../clock/index.ts";
import type { CallRecord, ServingDependencies } from "./call_context.ts";
import { CallerExchange } from "./caller_exchange.ts";
import type { ServingTarget } from "./choose_target.ts";
import { createTestDependencies } from "./create_test_dependencies.ts";
import { LoadBook } from "./load_book.ts";
import { PaceBook } from "./pace_book.ts";
import { serveCall } from "./serve_call.ts";
import type { ServingRoute } from "./serving_config.ts";
import { ServingIndex } from "./serving_index.ts";
import { StallWatch } from "./stall_watch.ts";

const HOST = "127.0.0.1";
const KEY = "key-1";
const servers: Server[] = [];
const rawServers: RawServer[] = [];
const rawSockets: Socket[] = [];

after(() => {
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
  for (const socket of rawSockets) socket.destroy();
  for (const server of rawServers) server.close();
});

const ROUTE: ServingRoute = {
  name: "route",
  host: "a.example",
  pathPrefix: "/safe/",
  repeatability: "safe",
  isStream: false,
  timeoutMs: 2_000,
  targetMs: 100,
  priority: 1,
  targets: [{ service: "desk", weight: 1 }],
  maxAttempts: 2,
  isPublic: false,
};
const ROUTES: readonly ServingRoute[] = [
  ROUTE,
  {
    ...ROUTE,
    name: "once",
    pathPrefix: "/once/",
    repeatability: "once",
    maxAttempts: 1,
  },
  {
    ...ROUTE,
    name: "stream",
    pathPrefix: "/stream/",
    repeatability: "resumable",
    isStream: true,
  },
];

describe("serveCall", () => {
  it("answers 503 while no configuration is known, and 404 or 401 after", async () => {
    const unknown = await startEntry({ backends: [], isConfigured: false });
    expect((await call(unknown, "/safe/x")).status).toEqual(503);
    const known = await startEntry({ backends: [] });
    expect((await call(known, "/none/x")).status).toEqual(404);
    expect((await call(known, "/safe/x", { "x-api-key": "other" })).status)
      .toEqual(401);
  });

  it("refuses as not run while keys may be outdated", async () => {
    const entry = await startEntry({ backends: [], areKeysFresh: false });
    const answer = await call(entry, "/safe/x");
    expect(answer.status).toEqual(503);
    expect(answer.headers["retry-after"] !== undefined).toEqual(true);
  });

  it("passes on the tenant, never the key", async () => {
    const seen: IncomingMessage[] = [];
    const backend = await startBackend((incoming, response) => {
      seen.push(incoming);
      answerWhole(incoming, response);
    });
    const entry = await startEntry({ backends: [backend] });
    const answer = await call(entry, "/safe/x", { tenant: "forged" });
    expect([answer.status, answer.body]).toEqual([200, "done"]);
    expect(seen[0]!.headers.tenant).toEqual("tenant-1");
    expect(seen[0]!.headers["x-api-key"]).toEqual(undefined);
    expect(Number(seen[0]!.headers["deadline-ms"]) <= 2_000).toEqual(true);
  });

  it("repeats a safe request that failed, on another instance", async () => {
    let calls = 0;
    const backend = (fails: boolean) =>
      startBackend((incoming, response) => {
        calls += 1;
        if (fails) incoming.socket.destroy();
        else answerWhole(incoming, response);
      });
    const entry = await startEntry({
      backends: [await backend(true), await backend(false)],
    });
    for (let index = 0; index < 6; index++) {
      expect((await call(entry, "/safe/x")).status).toEqual(200);
    }
    expect(calls > 6).toEqual(true);
  });

  it("never sends a request twice that may have run once", async () => {
    const ids: string[] = [];
    const backend = () =>
      startBackend((incoming) => {
        ids.push(String(incoming.headers["attempt-id"]));
        incoming.socket.destroy();
      });
    const entry = await startEntry({
      backends: [await backend(), await backend()],
    });
    const answer = await call(entry, "/once/x");
    expect(answer.status).toEqual(502);
    expect(ids.length).toEqual(1);
  });

  it("promises that a request did not run only where that is true", async () => {
    const turningAway = await startBackend((_incoming, response) => {
      response.writeHead(503, { "not-executed": "1" }).end();
    });
    const entry = await startEntry({ backends: [turningAway] });
    expect((await call(entry, "/once/x")).status).toEqual(503);
    const silent503 = await startBackend((incoming, response) => {
      response.writeHead(503, { "attempt-id": idOf(incoming) }).end();
    });
    const other = await startEntry({ backends: [silent503] });
    expect((await call(other, "/once/x")).status).toEqual(502);
  });

  it("repeats on a fresh connection what met one that was dropped", async () => {
    let connections = 0;
    const backend = await startRawBackend((socket) => {
      connections += 1;
      let requests = 0;
      socket.on("data", (bytes) => {
        requests += 1;
        // The first connection is gone once it is used again.
        if (requests > 1) socket.resetAndDestroy();
        else socket.write(createRawAnswer(bytes));
      });
    });
    const entry = await startEntry({ backends: [backend] });
    expect((await call(entry, "/safe/x")).status).toEqual(200);
    expect((await call(entry, "/safe/x")).status).toEqual(200);
    expect(connections).toEqual(2);
  });

  it("hands on no answer that belongs to another request", async () => {
    const backend = await startBackend((_incoming, response) => {
      response.writeHead(200, { "attempt-id": "other", "server-stamp": "s" })
        .end("wrong");
    });
    const entry = await startEntry({ backends: [backend] });
    const answer = await call(entry, "/safe/x");
    expect(answer.status).toEqual(502);
    expect(answer.body.includes("wrong")).toEqual(false);
  });

  it("resumes a stream that broke inside an event", async () => {
    const resumedAfter: unknown[] = [];
    const backend = () =>
      startBackend((incoming, response) => {
        const after = incoming.headers["last-event-id"];
        resumedAfter.push(after);
        response.writeHead(200, {
          "attempt-id": idOf(incoming),
          "server-stamp": "s",
          "content-type": "text/event-stream",
        });
        if (after === undefined) {
          response.write("id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\nda");
          setTimeout(() => incoming.socket.destroy(), 10);
        } else {
          response.end("id: 2\ndata: c\n\n");
        }
      });
    const entry = await startEntry({
      backends: [await backend(), await backend()],
    });
    const answer = await call(entry, "/stream/x");
    expect(answer.body).toEqual(
      "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n",
    );
    expect(answer.isWhole).toEqual(true);
    expect(resumedAfter).toEqual([undefined, "1"]);
  });

  it("refuses a stream as not run while every replica is full", async () => {
    let calls = 0;
    const backend = await startBackend((incoming, response) => {
      calls += 1;
      response.writeHead(200, {
        "attempt-id": idOf(incoming),
        "server-stamp": "s",
        "content-type": "text/event-stream",
      });
      response.end("id: 1\ndata: a\n\n");
    });
    const loads = new LoadBook();
    const load = { running: 4, waiting: 1, slots: 4 };
    loads.noteLoad(backend.instanceId, load, readNowMs());
    const entry = await startEntry({ backends: [backend], loads });
    const refused = await call(entry, "/stream/x");
    expect([refused.status, calls]).toEqual([503, 0]);
    expect(refused.headers["retry-after"]).toEqual("1.20");
    const resumed = { "last-event-id": "0" };
    expect((await call(entry, "/stream/x", resumed)).status).toEqual(200);
    const late = { "deadline-ms": "1500" };
    expect((await call(entry, "/stream/x", late)).status).toEqual(200);
    const idle = { running: 3, waiting: 0, slots: 4 };
    loads.noteLoad(backend.instanceId, idle, readNowMs());
    expect((await call(entry, "/stream/x")).status).toEqual(200);
  });

  it("tells of an instance that says that it leaves, whatever its answer", async () => {
    const left: ServingTarget[] = [];
    const leaving = await startBackend((incoming, response) => {
      response.writeHead(200, {
        "attempt-id": idOf(incoming),
        "server-stamp": "s",
        "server-leaving": "1",
      }).end("done");
    });
    const turningAway = await startBackend((_incoming, response) => {
      response.writeHead(503, { "not-executed": "1", "server-leaving": "1" })
        .end();
    });
    const noteLeaving = (target: ServingTarget) => left.push(target);
    for (const backend of [leaving, turningAway]) {
      const entry = await startEntry({ backends: [backend], noteLeaving });
      await call(entry, "/safe/x");
    }
    expect(left).toEqual([leaving, turningAway]);
  });

  it("leaves an instance that asked for time alone, and refuses at once with the time that is left", async () => {
    let calls = 0;
    const backend = await startBackend((_incoming, response) => {
      calls += 1;
      response.writeHead(503, { "not-executed": "1", "retry-after": "30.5" })
        .end();
    });
    const entry = await startEntry({ backends: [backend] });
    await call(entry, "/safe/x");
    expect(calls).toEqual(1);
    for (const path of ["/safe/x", "/once/x", "/stream/x"]) {
      const refused = await call(entry, path);
      expect(refused.status).toEqual(503);
      const retryAfterSeconds = Number(refused.headers["retry-after"]);
      expect(retryAfterSeconds > 29 && retryAfterSeconds <= 30.5)
        .toEqual(true);
    }
    expect(calls).toEqual(1);
  });

  it("sends to another instance while one has asked for time", async () => {
    let turnedAway = 0;
    const resting = await startBackend((_incoming, response) => {
      turnedAway += 1;
      response.writeHead(503, { "not-executed": "1", "retry-after": "30" })
        .end();
    });
    const other = await startBackend(answerWhole);
    const entry = await startEntry({ backends: [resting, other] });
    for (let index = 0; index < 8; index++) {
      expect((await call(entry, "/safe/x")).status).toEqual(200);
    }
    expect(turnedAway <= 1).toEqual(true);
  });

  it("passes over a time that can't be read, with a line", async () => {
    const messages: string[] = [];
    let calls = 0;
    const backend = await startBackend((_incoming, response) => {
      calls += 1;
      response.writeHead(503, { "not-executed": "1", "retry-after": "-3" })
        .end();
    });
    const entry = await startEntry({
      backends: [backend],
      onMalformedHead: (_id, message) => messages.push(message),
    });
    await call(entry, "/safe/x");
    await call(entry, "/safe/x");
    expect(calls).toEqual(2);
    expect(messages[0]).toEqual("retry-after is -3, not in seconds");
  });

  it("moves a stream off a replica that turned slow", async () => {
    const stalls = new StallWatch();
    const paces = new PaceBook();
    const ids: string[] = [];
    let slowId: string | undefined;
    const backend = async () => {
      const target = await startBackend((incoming, response) => {
        response.writeHead(200, {
          "attempt-id": idOf(incoming),
          "server-stamp": "s",
          "content-type": "text/event-stream",
        });
        if (slowId !== undefined) {
          response.end("id: 1\ndata: b\n\n");
          return;
        }
        slowId = target.instanceId;
        response.write("id: 0\ndata: a\n\n");
        setTimeout(() => {
          const nowMs = readNowMs();
          for (const instanceId of ids) {
            const pauseMs = instanceId === slowId ? 400 : 40;
            for (let count = 0; count < 10; count++) {
              paces.notePause({
                instanceId,
                epoch: 0,
                model: "",
                pauseMs,
                nowMs,
              });
            }
          }
          expect(paces.listSlow(nowMs)).toEqual([slowId!]);
          stalls.moveAway(slowId!);
        }, 20);
      });
      ids.push(target.instanceId);
      return target;
    };
    const entry = await startEntry({
      backends: [await backend(), await backend()],
      stalls,
      paces,
    });
    const answer = await call(entry, "/stream/x");
    expect(answer.body).toEqual("id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    expect(answer.isWhole).toEqual(true);
  });

  it("breaks off a stream whose events don't follow each other", async () => {
    const backend = () =>
      startBackend((incoming, response) => {
        response.writeHead(200, {
          "attempt-id": idOf(incoming),
          "server-stamp": "s",
          "content-type": "text/event-stream",
        });
        response.end("id: 0\ndata: a\n\nid: 2\ndata: c\n\n");
      });
    const entry = await startEntry({
      backends: [await backend(), await backend()],
    });
    const answer = await call(entry, "/stream/x");
    expect(answer.isWhole).toEqual(false);
    expect(answer.body).toEqual("id: 0\ndata: a\n\n");
  });
});

function readNowMs(): number {
  return Effect.runSync(steadyMs);
}

function idOf(incoming: IncomingMessage): string {
  return String(incoming.headers["attempt-id"]);
}

const answerWhole: RequestListener = (incoming, response) => {
  response.writeHead(200, {
    "attempt-id": idOf(incoming),
    "server-stamp": "s",
  }).end("done");
};

async function startBackend(
  listener: RequestListener,
): Promise<ServingTarget> {
  const port = await start(listener);
  return {
    instanceId: `i-${port}`,
    address: `${HOST}:${port}`,
    zone: "z",
    slots: 4,
    epoch: 0,
  };
}

/** A backend server that is written by hand. */
async function startRawBackend(
  onConnection: (socket: Socket) => void,
): Promise<ServingTarget> {
  const server = createRawServer((socket) => {
    socket.on("error", () => {});
    rawSockets.push(socket);
    onConnection(socket);
  });
  rawServers.push(server);
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const address = `${HOST}:${port}`;
  return { instanceId: `i-${port}`, address, zone: "z", slots: 4, epoch: 0 };
}

function createRawAnswer(request: Buffer): string {
  const id = /attempt-id: (\S+)/i.exec(request.toString())?.[1];
  return `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\ndone`;
}

interface EntryOptions {
  readonly backends: readonly ServingTarget[];
  readonly isConfigured?: boolean;
  readonly areKeysFresh?: boolean;
  readonly loads?: LoadBook;
  readonly stalls?: StallWatch;
  readonly paces?: PaceBook;
  readonly noteLeaving?: ServingDependencies["noteLeaving"];
  readonly onMalformedHead?: ServingDependencies["onMalformedHead"];
}

async function startEntry(options: EntryOptions): Promise<number> {
  const index = new ServingIndex({
    version: 1,
    routes: ROUTES,
    services: new Map(),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_024,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "tenant-1", keys: [KEY] }],
  });
  const records: CallRecord[] = [];
  const { loads, stalls, paces, noteLeaving, onMalformedHead } = options;
  const dependencies = createTestDependencies({
    index: () => options.isConfigured === false ? undefined : index,
    areKeysFresh: () => options.areKeysFresh !== false,
    listTargets: () => options.backends,
    record: (record) => records.push(record),
    ...(loads === undefined ? {} : { loads }),
    ...(stalls === undefined ? {} : { stalls }),
    ...(paces === undefined ? {} : { paces }),
    ...(noteLeaving === undefined ? {} : { noteLeaving }),
    ...(onMalformedHead === undefined ? {} : { onMalformedHead }),
  });
  return await start((incoming, response) => {
    const exchange = new CallerExchange({
      request: incoming,
      response,
      codec: dependencies.codec,
      isClosing: () => false,
    });
    Effect.runFork(serveCall(exchange, dependencies));
  });
}

async function start(listener: RequestListener): Promise<number> {
  const server = createServer(listener);
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  return (server.address() as AddressInfo).port;
}

interface Answer {
  readonly status: number;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  readonly isWhole: boolean;
}

let callCount = 0;

function call(
  port: number,
  path: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<Answer> {
  callCount += 1;
  const sent = request({
    host: HOST,
    port,
    path,
    method: "POST",
    agent: false,
    headers: {
      host: "a.example",
      "attempt-id": `call-${callCount}`,
      "deadline-ms": "2000",
      "x-api-key": KEY,
      ...headers,
    },
  });
  return new Promise((resolve, reject) => {
    sent.on("error", reject);
    sent.on("response", (response) => {
      let body = "";
      response.setEncoding("utf8");
      response.on("data", (text) => body += text);
      response.on("error", () => {});
      response.on("close", () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body,
          isWhole: response.complete,
        }));
    });
    sent.end("body");
  });
}
