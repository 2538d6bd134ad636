import { expect } from "earl";
import { Agent } from "node:http";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { HEADER_NAMES } from "../../platform/words.ts";
import { call, startEntry, startRawBackend } from "../test_entry.ts";
import {
  createRawChunk,
  createRawHead,
  createRawResponse,
  createRawStreamHead,
  LAST_CHUNK,
  readRawHeader,
} from "./raw_response.ts";

const EVENT = "id: 0\ndata: a\n\n";
const REST = "id: 1\ndata: b\n\n";
/** A part of the deadline of 2 s, until which a lost response must not hang. */
const MAX_MS = 1_000;
const RESET_DELAY_MS = 30;
const TYPE = "Content-Type: text/event-stream\r\n\r\n";

// Guards against a request that is held until its deadline, as nothing tells
// that its response has ended, and against a part that counts as the whole.
describe("a response without a length that is reset", () => {
  for (const isKept of [false, true]) {
    const connections = isKept ? "kept" : "new";
    it(`is resumed at once if it is a stream (${connections} connections)`, async () => {
      const { response, requests, elapsedMs } = await callReset({
        path: "/stream/x",
        isKept,
        first: (request) => createRawHead(request, TYPE) + EVENT,
        next: (request) =>
          createRawStreamHead(request) + createRawChunk(REST) + LAST_CHUNK,
      });
      expect(response.body).toEqual(EVENT + REST);
      expect([response.status, response.isComplete]).toEqual([200, true]);
      expect(requests.map(readLastEventId)).toEqual([undefined, "0"]);
      expect(elapsedMs < MAX_MS).toEqual(true);
    });

    it(`is attempted anew at once if it may be (${connections} connections)`, async () => {
      const { response, requests, elapsedMs } = await callReset({
        path: "/safe/x",
        isKept,
        first: (request) => `${createRawHead(request)}\r\ndo`,
        next: createRawResponse,
      });
      expect([response.status, response.body]).toEqual([200, "done"]);
      expect([requests.length, elapsedMs < MAX_MS]).toEqual([2, true]);
    });
  }

  it("is given up at once if it may not be", async () => {
    const { response, requests, elapsedMs } = await callReset({
      path: "/once/x",
      first: (request) => `${createRawHead(request)}\r\ndo`,
      next: createRawResponse,
    });
    expect(response.status).toEqual(502);
    expect([requests.length, elapsedMs < MAX_MS]).toEqual([1, true]);
  });
});

/** Calls a route whose first response is reset a while after it was written. */
async function callReset({ path, first, next, isKept = false }: {
  readonly path: string;
  readonly first: (request: Buffer) => string;
  readonly next: (request: Buffer) => string;
  readonly isKept?: boolean;
}) {
  const requests: Buffer[] = [];
  const onConnection = (socket: Socket) =>
    socket.on("data", (request) => {
      requests.push(request);
      if (requests.length > 1) {
        socket.write(next(request));
        return;
      }
      socket.write(first(request));
      setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
    });
  const backends = [
    await startRawBackend(onConnection),
    await startRawBackend(onConnection),
  ];
  const agent = new Agent({ keepAlive: isKept });
  const entry = await startEntry({
    backends,
    trySpend: () => true,
    agentFor: () => agent,
  });
  const startedAtMs = performance.now();
  const response = await call(entry, path);
  const elapsedMs = performance.now() - startedAtMs;
  agent.destroy();
  return { response, requests, elapsedMs };
}

function readLastEventId(request: Buffer): string | undefined {
  return readRawHeader(request, HEADER_NAMES.lastEventId);
}
