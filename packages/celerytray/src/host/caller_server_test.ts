import { expect } from "earl";
import { once } from "node:events";
import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { HeldBytes, type HeldResponse } from "../serving/index.ts";
import {
  exchange,
  MAX_HEADER_BYTES,
  openSocket,
  startEntry,
} from "./test_caller_server.ts";

const EVENT_INTERVAL_MS = 30;
const LIMITED = { timeout: 5_000 };
const FOREIGN_BYTES = "bytes of no request\r\n\r\n";
/** More than the buffers of a connection hold that is not read. */
const LARGE_BYTES = 4 * 1024 * 1024;
/** Longer than the buffers of a connection take to be full of a response. */
const SENDING_MS = 300;
const FLOOD = Buffer.alloc(64 * 1024, "x");
/** What the buffers of a connection take before it is closed. */
const MAX_FLOOD_BYTES = 32 * 1024 * 1024;
const COMPLETE_RESTS = {
  "the last one of its connection":
    "Content-Length: 0\r\nConnection: close\r\n\r\n",
  "without a body": "Content-Length: 0\r\n\r\n",
  "with a length": "Content-Length: 4\r\n\r\nbody",
  "in chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
};
const HEAD = "POST /s/x HTTP/1.1\r\nHost: a.example\r\n" +
  "Attempt-Id: call-1\r\nDeadline-Ms: 2000\r\n";

const BYTES_BEHIND = {
  "foreign bytes": FOREIGN_BYTES,
  "bytes of a malformed request":
    `${HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\n`,
};

describe("createCallerServer", () => {
  it("refuses request headers that are too long", async () => {
    const { port } = await startEntry(answerNothing);
    const long = `X-Long: ${"a".repeat(MAX_HEADER_BYTES)}\r\n`;
    expect(await exchange(port, `${HEAD}${long}\r\n`)).toInclude(" 431 ");
  });

  it("refuses a body with two lengths and forwards nothing", async () => {
    const seen: string[] = [];
    const { port } = await startEntry((incoming, response) => {
      seen.push(incoming.url ?? "");
      response.end();
    });
    const smuggled = `${HEAD}Content-Length: 4\r\n` +
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /s/hidden HTTP/1.1\r\n\r\n";
    expect(await exchange(port, smuggled)).toInclude(" 400 ");
    const twice = `${HEAD}Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody`;
    expect(await exchange(port, twice)).toInclude(" 400 ");
    expect(seen).toEqual([]);
  });

  it("answers a request that fails unexpectedly and serves the next one", async () => {
    const faults: unknown[] = [];
    const { port } = await startEntry(answerNothing, {
      listTargets: () => {
        throw new Error("unexpected");
      },
      onFault: (defect) => faults.push(defect),
    });
    const call = `${HEAD}Content-Length: 0\r\n\r\n`;
    expect(await exchange(port, call)).toInclude(" 500 ");
    expect(await exchange(port, call)).toInclude(" 500 ");
    expect(faults.length).toEqual(2);
  });

  it("keeps serving after bytes that are not a request", async () => {
    const { port } = await startEntry(respondDone);
    for (
      const bytes of [
        "\0\0\0",
        "GET",
        "POST / HTTP/9.9\r\n\r\n",
        "x".repeat(9_000),
      ]
    ) {
      const socket = openSocket(port);
      socket.write(bytes);
      await pause();
      socket.destroy();
    }
    expect(await exchange(port, `${HEAD}Content-Length: 0\r\n\r\n`))
      .toInclude(" 200 ");
  });

  // Guards against a caller that is told 400 though its request runs, and a
  // stream that is cut, for bytes behind a complete request.
  for (const [framing, rest] of Object.entries(COMPLETE_RESTS)) {
    it(`answers a request with foreign bytes behind it (${framing})`, async () => {
      const seen: string[] = [];
      const { port, records } = await startEntry((incoming, response) => {
        seen.push(incoming.url ?? "");
        respondStream(incoming, response);
      });
      const text = await exchange(port, `${HEAD}${rest}${FOREIGN_BYTES}`);
      expect(text.match(/^HTTP\/1.1 .*$/gm)).toEqual(["HTTP/1.1 200 OK"]);
      expect(text.match(/^id: .*$/gm)).toEqual(["id: 0", "id: 1"]);
      expect(text.endsWith("\r\n0\r\n\r\n")).toEqual(true);
      expect(seen).toEqual(["/s/x"]);
      expect(records.map(({ outcome }) => outcome)).toEqual(["streamed"]);
    });
  }

  // Guards against a response that is lost behind another one of its connection.
  it("answers each of two requests with foreign bytes behind them", async () => {
    const { port } = await startEntry(respondStream);
    const call = `${HEAD}Content-Length: 0\r\n\r\n`;
    const text = await exchange(port, `${call}${call}${FOREIGN_BYTES}`);
    expect(text.match(/^HTTP\/1.1 .*$|^id: .*$/gm)).toEqual([
      "HTTP/1.1 200 OK",
      "id: 0",
      "id: 1",
      "HTTP/1.1 200 OK",
      "id: 0",
      "id: 1",
    ]);
  });

  // Guards against a stream that is cut for bytes that come while it runs.
  it("completes a stream though foreign bytes come meanwhile", async () => {
    const { port } = await startEntry(respondStream);
    const socket = openSocket(port);
    let text = "";
    socket.on("data", (chunk) => {
      if (text === "") socket.write(FOREIGN_BYTES);
      text += chunk.toString();
    });
    socket.write(`${HEAD}Content-Length: 0\r\n\r\n`);
    await once(socket, "close");
    expect(text.match(/^HTTP\/1.1 .*$/gm)).toEqual(["HTTP/1.1 200 OK"]);
    expect(text.endsWith("\r\n0\r\n\r\n")).toEqual(true);
  });

  // Guards against a caller that is told 400 while its complete request runs.
  for (const [what, bytes] of Object.entries(BYTES_BEHIND)) {
    it(`answers a request though ${what} come while it runs`, async () => {
      const arrived = createSignal();
      const { port } = await startEntry((incoming, response) => {
        arrived.set();
        setTimeout(() => respondDone(incoming, response), EVENT_INTERVAL_MS);
      });
      const socket = openSocket(port);
      let text = "";
      socket.on("data", (chunk) => text += chunk.toString());
      socket.write(`${HEAD}Content-Length: 0\r\n\r\n`);
      await arrived.wait;
      socket.write(bytes);
      await once(socket, "close");
      expect(text.match(/^HTTP\/1.1 .*$/gm)).toEqual(["HTTP/1.1 200 OK"]);
      expect(text.endsWith("\r\n\r\ndone")).toEqual(true);
    });
  }

  // Guards against a request that goes on for a caller that has left.
  it(
    "records that a caller left after it sent foreign bytes",
    LIMITED,
    async () => {
      const arrived = createSignal();
      const { port, records } = await startEntry(arrived.set);
      const socket = openSocket(port);
      socket.write(`${HEAD}Content-Length: 0\r\n\r\n${FOREIGN_BYTES}`);
      await arrived.wait;
      socket.end();
      while (records.length === 0) await pause();
      expect(records.map(({ outcome }) => outcome)).toEqual(["left"]);
    },
  );

  // Guards against a caller that takes the processor time of all others, and is
  // read for as long as its answer takes.
  it(
    "closes the connection of a caller that sends foreign bytes without end",
    LIMITED,
    async () => {
      const { port } = await startEntry(() => {});
      const socket = openSocket(port);
      const flood = () => {
        while (!socket.destroyed && socket.write(FLOOD));
      };
      socket.on("drain", flood);
      socket.write(`${HEAD}Content-Length: 0\r\n\r\n`);
      flood();
      await new Promise((resolve) => socket.once("close", resolve));
      expect(socket.bytesWritten < MAX_FLOOD_BYTES).toEqual(true);
    },
  );

  it("refuses a request whose body is malformed", async () => {
    const { port } = await startEntry(answerNothing);
    const start = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
    expect(await exchange(port, `${start}zz\r\n`)).toInclude(" 400 ");
  });

  it("records once that a caller left, with its attempt in progress", async () => {
    const arrived = createSignal();
    const { port, records, instanceId } = await startEntry(arrived.set);
    const socket = openSocket(port);
    socket.write(`${HEAD}Content-Length: 0\r\n\r\n`);
    await arrived.wait;
    socket.destroy();
    while (records.length === 0) await pause();
    expect(records.map(({ outcome, attempts }) => [outcome, attempts]))
      .toEqual([["left", [`${instanceId} under way`]]]);
  });

  // Guards against a connection that this process closes and that the log shows
  // like a caller that left.
  it("records who closed the connection of a caller that left", async () => {
    const closeByCaller = (socket: Socket) => socket.end();
    const cut = (_socket: Socket, response: HeldResponse) => response.cut();
    for (const close of [closeByCaller, cut]) {
      const held = new CapturingHeldBytes();
      const { port, records } = await startEntry(
        (incoming, response) => respondStream(incoming, response, 5_000),
        { held },
      );
      const socket = openSocket(port);
      socket.write(`${HEAD}Content-Length: 0\r\n\r\n`);
      await once(socket, "data");
      close(socket, held.last!);
      while (records.length === 0) await pause();
      expect(records.map(({ cause }) => cause)).toEqual([
        close === closeByCaller ? "caller-left" : "memory",
      ]);
    }
  });

  // Guards against a response that is taken for served although its connection
  // closed before its last bytes were sent.
  it(
    "tells of an ended response that was not sent in full",
    LIMITED,
    async () => {
      const unsent: string[] = [];
      const { port, records } = await startEntry(
        (incoming, response) => {
          response.writeHead(200, {
            "attempt-id": String(incoming.headers["attempt-id"]),
            "server-stamp": "s",
          }).end(Buffer.alloc(LARGE_BYTES));
        },
        {
          held: new HeldBytes({
            maxBytes: Infinity,
            nowMs: () => 0,
            onCut: () => {},
          }),
          onUnsent: ({ callId, reason }) => unsent.push(callId, reason),
        },
      );
      const socket = openSocket(port);
      socket.pause();
      socket.write(`${HEAD}Content-Length: 0\r\n\r\n`);
      while (records.length === 0) await pause();
      await pause(SENDING_MS);
      socket.resetAndDestroy();
      while (unsent.length === 0) await pause();
      expect(records.map(({ outcome }) => outcome)).toEqual(["answered"]);
      expect(unsent[0]).toEqual("call-1");
      expect(unsent[1]!.startsWith("The connection failed: ")).toEqual(true);
    },
  );

  it("does not record a caller as left if its response was broken off", async () => {
    const { port, records } = await startEntry((incoming, response) => {
      response.writeHead(200, {
        "attempt-id": "call-1",
        "server-stamp": "s",
        "content-type": "text/event-stream",
      });
      response.write("id: 0\ndata: a\n\n");
      setTimeout(() => incoming.socket.destroy(), 5);
    });
    await exchange(port, `${HEAD}Content-Length: 0\r\n\r\n`);
    await pause();
    expect(records.map(({ outcome }) => outcome)).toEqual(["broken-off"]);
  });
});

const answerNothing: RequestListener = (_incoming, response) => {
  response.end();
};

const respondDone: RequestListener = (incoming, response) => {
  response.writeHead(200, {
    "attempt-id": String(incoming.headers["attempt-id"]),
    "server-stamp": "s",
  }).end("done");
};

/** Remembers the last response that holds bytes. */
class CapturingHeldBytes extends HeldBytes {
  last: HeldResponse | undefined;

  constructor() {
    super({ maxBytes: LARGE_BYTES, nowMs: () => 0, onCut: () => {} });
  }

  override update(response: HeldResponse): void {
    this.last = response;
    super.update(response);
  }
}

const respondStream = (
  request: IncomingMessage,
  response: ServerResponse,
  lastEventAfterMs = EVENT_INTERVAL_MS,
) => {
  response.writeHead(200, {
    "attempt-id": String(request.headers["attempt-id"]),
    "server-stamp": "s",
    "content-type": "text/event-stream",
  });
  response.write("id: 0\ndata: a\n\n");
  const end = () => response.end("id: 1\ndata: b\n\n");
  setTimeout(end, lastEventAfterMs).unref();
};

function createSignal() {
  let set: () => void = () => {};
  const wait = new Promise<void>((resolve) => set = resolve);
  return { wait, set: () => set() };
}

function pause(durationMs = 10): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
