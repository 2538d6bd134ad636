import { expect } from "earl";
import { once } from "node:events";
import type { RequestListener, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { HeldBytes } from "../serving/index.ts";
import { openSocket, startEntry } from "./test_caller_server.ts";

const LIMITED = { timeout: 5_000 };
/** Longer than a request takes to reach the back end. */
const SETTLE_MS = 100;
const DEADLINE_MS = 400;
const BODY_BYTES = 1_000;
/** More requests than a connection may have waiting. */
const MANY_REQUESTS = 200;

// Guards against requests that are lost with the connection of an earlier one:
// they had run, and were logged as served (LOST).
describe("requests behind one another on a connection", () => {
  it("reach a back end one after the other", LIMITED, async () => {
    const backend = new HoldingBackend();
    const { port, records } = await startEntry(backend.listener);
    const socket = openSocket(port);
    const text = collect(socket);
    socket.write(head("first") + head("second"));
    await backend.awaitRequests(1);
    await pause(SETTLE_MS);
    expect(backend.ids).toEqual(["first"]);
    backend.end("first");
    await backend.awaitRequests(2);
    backend.end("second");
    while (records.length < 2) await pause(5);
    await pause(SETTLE_MS);
    expect(text().match(/^HTTP.*$|^attempt-id: .*$/gim)).toEqual([
      "HTTP/1.1 200 OK",
      "attempt-id: first",
      "HTTP/1.1 200 OK",
      "attempt-id: second",
    ]);
    expect(records.map(({ callId, outcome }) => [callId, outcome]))
      .toEqual([["first", "streamed"], ["second", "streamed"]]);
  });

  it("do not run once an earlier answer is broken off", LIMITED, async () => {
    const backend = new HoldingBackend();
    const { port, records } = await startEntry(backend.listener);
    const socket = openSocket(port);
    socket.write(head("first") + head("second"));
    await backend.awaitRequests(1);
    backend.breakOff("first");
    await once(socket.resume(), "close");
    await pause(SETTLE_MS);
    expect(backend.ids).toEqual(["first"]);
    expect(
      records.map(({ callId, outcome, attempts, reason }) => [
        callId,
        outcome,
        attempts.length,
        outcome === "left" ? reason : "",
      ]),
    ).toEqual([
      ["first", "broken-off", 1, ""],
      ["second", "left", 0, "This process closed the connection"],
    ]);
  });

  it(
    "are recorded as left if their caller closes the connection",
    LIMITED,
    async () => {
      const backend = new HoldingBackend();
      const { port, records } = await startEntry(backend.listener);
      const socket = openSocket(port);
      socket.write(head("first") + head("second"));
      await backend.awaitRequests(1);
      socket.destroy();
      while (records.length < 2) await pause(5);
      expect(backend.ids).toEqual(["first"]);
      expect(records.map(({ callId, outcome }) => [callId, outcome]))
        .toEqual([["first", "left"], ["second", "left"]]);
    },
  );

  it(
    "have no more time than their callers gave them on arrival",
    LIMITED,
    async () => {
      const backend = new HoldingBackend();
      const { port, records } = await startEntry(backend.listener);
      const socket = openSocket(port);
      const text = collect(socket);
      socket.write(head("first") + head("second", DEADLINE_MS));
      await backend.awaitRequests(1);
      await pause(DEADLINE_MS);
      backend.end("first");
      while (records.length < 2) await pause(5);
      await pause(SETTLE_MS);
      expect(backend.ids).toEqual(["first"]);
      expect(text().match(/^HTTP.*$/gm)?.length).toEqual(2);
      expect(records[1]!.attempts).toEqual([]);
    },
  );

  // Guards against bodies that wait outside the bound on memory, an object for
  // each of their chunks.
  it("have their bodies counted while they wait", LIMITED, async () => {
    const backend = new HoldingBackend();
    const held = new HeldBytes({
      maxBytes: 100_000,
      nowMs: () => 0,
      onCut: () => {},
    });
    const { port } = await startEntry(backend.listener, { held });
    const socket = openSocket(port);
    socket.write(
      head("first") + "POST /s/x HTTP/1.1\r\nHost: a.example\r\n" +
        "Attempt-Id: second\r\nDeadline-Ms: 2000\r\n" +
        "Transfer-Encoding: chunked\r\n\r\n" +
        "1\r\na\r\n".repeat(BODY_BYTES),
    );
    await backend.awaitRequests(1);
    expect(backend.ids).toEqual(["first"]);
    expect(held.totalBytes >= BODY_BYTES).toEqual(true);
  });

  it("end their connection if there are too many", LIMITED, async () => {
    const backend = new HoldingBackend();
    const { port } = await startEntry(backend.listener);
    const socket = openSocket(port);
    const closed = once(socket.resume(), "close");
    for (let index = 0; index < MANY_REQUESTS; index += 1) {
      socket.write(head(`call-${index}`));
    }
    await closed;
    expect(backend.ids.length <= 1).toEqual(true);
  });
});

/** A back end that begins each answer and waits for the test to end it. */
class HoldingBackend {
  readonly ids: string[] = [];
  readonly #responses = new Map<string, ServerResponse>();

  readonly listener: RequestListener = (incoming, response) => {
    const id = String(incoming.headers["attempt-id"]);
    this.ids.push(id);
    this.#responses.set(id, response);
    response.writeHead(200, {
      "attempt-id": id,
      "server-stamp": "s",
      "content-type": "text/event-stream",
    });
    response.write("id: 0\ndata: a\n\n");
  };

  async awaitRequests(count: number): Promise<void> {
    while (this.ids.length < count) await pause(5);
    await pause(SETTLE_MS);
  }

  end(id: string): void {
    this.#responses.get(id)!.end("id: 1\ndata: b\n\n");
  }

  breakOff(id: string): void {
    this.#responses.get(id)!.destroy();
  }
}

function head(id: string, deadlineMs = 2_000): string {
  return "POST /s/x HTTP/1.1\r\nHost: a.example\r\n" +
    `Attempt-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\n` +
    "Content-Length: 0\r\n\r\n";
}

/** Returns what reads all bytes that have come. */
function collect(socket: Socket): () => string {
  let text = "";
  socket.on("data", (chunk) => text += chunk.toString());
  return () => text;
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
