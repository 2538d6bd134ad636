import { expect } from "earl";
import { Agent } from "node:http";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { HEADER_NAMES } from "../../platform/words.ts";
import type { LateEvent } from "../call_context.ts";
import {
  createRawChunk,
  createRawHead,
  createRawStreamHead,
  LAST_CHUNK,
  readRawHeader,
} from "./raw_response.ts";
import { call, startEntry, startRawBackend } from "../test_entry.ts";

const ALL_EVENTS = [0, 1, 2, 3];
const NO_CHUNK_SIZE = "zz\r\n";
const FOREIGN_BYTES = "bytes of no response\r\n\r\n";
const PLAIN_BODIES = {
  "with a length": "Content-Length: 4\r\n\r\ndone",
  "in chunks": `Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n${LAST_CHUNK}`,
};

describe("bytes of no response, in one read with a response", () => {
  // Guards against events that an ended attempt and its successor both pass on
  // (ORDER), as they arrived together with what ended the attempt.
  for (const isKept of [false, true]) {
    const connections = isKept ? "kept" : "new";
    it(`repeat no event that came before them (${connections} connections)`, async () => {
      const { entry, requests, lateEvents, attempts } = await startFaulty({
        isKept,
        respond: (request, { isFirst }) =>
          isFirst
            ? createStream(request, [0, 1]) + NO_CHUNK_SIZE
            : createRest(request) + LAST_CHUNK,
      });
      const response = await call(entry, "/stream/x");
      expect(response.body).toEqual(createEvents(ALL_EVENTS));
      expect([response.status, response.isComplete]).toEqual([200, true]);
      expect(requests.map(readLastEventId)).toEqual([undefined, 1]);
      expect(lateEvents).toEqual([]);
      expect(attempts[0]!.map((text) => text.split(", ").at(-1)))
        .toEqual(["events 0 to 1", "events 2 to 3"]);
    });
  }

  // Guards against a complete stream whose events come twice, or that is broken
  // off, for what stands behind it.
  for (const isSecondFaulty of [false, true]) {
    const others = isSecondFaulty ? "every answer" : "the first answer";
    it(`leave a stream complete, after one run (behind ${others})`, async () => {
      const { entry, requests, lateEvents } = await startFaulty({
        respond: (request, { isFirst }) =>
          createRest(request) + LAST_CHUNK +
          (isFirst || isSecondFaulty ? FOREIGN_BYTES : ""),
      });
      const response = await call(entry, "/stream/x");
      expect(response.body).toEqual(createEvents(ALL_EVENTS));
      expect([response.status, response.isComplete]).toEqual([200, true]);
      expect(requests.length).toEqual(1);
      expect(lateEvents).toEqual([]);
    });
  }

  // Guards against a 502 for a request that ran, or a second run, though its
  // complete answer had arrived.
  for (const path of ["/safe/x", "/once/x"]) {
    for (const [framing, body] of Object.entries(PLAIN_BODIES)) {
      it(`leave the answer of ${path} complete, after one run (${framing})`, async () => {
        const { entry, requests } = await startFaulty({
          respond: (request) => createRawHead(request) + body + FOREIGN_BYTES,
        });
        const response = await call(entry, path);
        expect([response.status, response.body]).toEqual([200, "done"]);
        expect(requests.length).toEqual(1);
      });
    }
  }

  // Guards against an answer for the next request on a connection whose bytes
  // are out of step.
  it("end the use of their connection", async () => {
    const { entry, requests, sockets } = await startFaulty({
      isKept: true,
      respond: (request, { isFirst }) =>
        createRawHead(request) + PLAIN_BODIES["with a length"] +
        (isFirst ? FOREIGN_BYTES : ""),
    });
    expect((await call(entry, "/safe/x")).body).toEqual("done");
    expect((await call(entry, "/safe/x")).body).toEqual("done");
    expect([requests.length, sockets.length]).toEqual([2, 2]);
  });
});

/** Starts an entry before two back ends that write each answer at once. */
async function startFaulty({ respond, isKept = false }: {
  readonly isKept?: boolean;
  readonly respond: (
    request: Buffer,
    state: { readonly isFirst: boolean },
  ) => string;
}) {
  const requests: Buffer[] = [];
  const sockets: Socket[] = [];
  const onConnection = (socket: Socket) => {
    sockets.push(socket);
    socket.on("data", (request) => {
      requests.push(request);
      socket.write(respond(request, { isFirst: requests.length === 1 }));
    });
  };
  const backends = [
    await startRawBackend(onConnection),
    await startRawBackend(onConnection),
  ];
  const agent = new Agent({ keepAlive: isKept });
  const lateEvents: LateEvent[] = [];
  const attempts: (readonly string[])[] = [];
  const entry = await startEntry({
    backends,
    trySpend: () => true,
    agentFor: () => agent,
    onLateEvent: (event) => lateEvents.push(event),
    record: (record) => attempts.push(record.attempts),
  });
  return { entry, requests, sockets, lateEvents, attempts };
}

/** Creates the head and events of a stream, without its end. */
function createStream(request: Buffer, ids: readonly number[]): string {
  const chunks = ids.map((id) => createRawChunk(createEvents([id])));
  return createRawStreamHead(request) + chunks.join("");
}

/** Creates the stream after the last event that the caller has. */
function createRest(request: Buffer): string {
  const lastEventId = readLastEventId(request) ?? -1;
  return createStream(request, ALL_EVENTS.filter((id) => id > lastEventId));
}

function createEvents(ids: readonly number[]): string {
  return ids.map((id) => `id: ${id}\ndata: event ${id}\n\n`).join("");
}

function readLastEventId(request: Buffer): number | undefined {
  const text = readRawHeader(request, HEADER_NAMES.lastEventId);
  return text === undefined ? undefined : Number(text);
}
