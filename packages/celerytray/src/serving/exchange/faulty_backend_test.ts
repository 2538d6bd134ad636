import { expect } from "earl";
import { Agent } from "node:http";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { BackendPools } from "../../http/index.ts";
import { call, startEntry, startRawBackend } from "../test_entry.ts";
import { createRawHead, createRawResponse } from "./raw_response.ts";

const MEBIBYTE = 1024 * 1024;
/** Allowed memory growth for many concurrent endless responses. */
const MAX_GROWTH_BYTES = 160 * MEBIBYTE;
const MANY = 24;
const EVENT = "id: 0\ndata: a\n\n";
const CHUNK = Buffer.alloc(64 * 1024, "x");
const ZEROS = Buffer.alloc(64 * 1024, "0");
/** Half of the deadline of the requests. */
const ENDLESS_MS = 1_000;

describe("a faulty back end", () => {
  it("sends a late second copy of a response on a reused connection", async () => {
    for (const hasId of [true, false]) {
      let requests = 0;
      let copy = "";
      const backend = await startRawBackend((socket) => {
        socket.on("data", (bytes) => {
          requests += 1;
          const response = createRawResponse(bytes);
          if (requests === 1) {
            copy = hasId
              ? response
              : response.replace(/attempt-id: \S+\r\n/i, "");
            socket.write(response);
          } else if (requests === 2) {
            // At the time when the response to the next request is due.
            socket.write(copy.replace("done", "late"));
          } else socket.write(response);
        });
      });
      const agent = new Agent({ keepAlive: true });
      const entry = await startEntry({
        backends: [backend],
        agentFor: () => agent,
      });
      expect((await call(entry, "/safe/x")).body).toEqual("done");
      const next = await call(entry, "/safe/x");
      expect(next.body.includes("late")).toEqual(false);
      agent.destroy();
    }
  });

  // Guards against a caller that is told that its request was not run, and
  // against a second run elsewhere, by a refusal that is not its own.
  it("refuses a request before it has read it, and runs it", async () => {
    let runs = 0;
    const respond = (socket: Socket) => {
      socket.write(
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
      );
      socket.on("data", () => runs += 1);
    };
    const backends = [
      await startRawBackend(respond),
      await startRawBackend(respond),
    ];
    const entry = await startEntry({ backends, trySpend: () => true });
    const response = await call(entry, "/once/x");
    expect(response.status).toEqual(502);
    expect(runs <= 1).toEqual(true);
  });

  // Guards against an error in the middle of a caller's stream, and against a
  // stream that looks complete although it broke off.
  for (const status of [200, 400, 500, 503]) {
    it(`answers a stream that broke off elsewhere with ${status}`, async () => {
      let requests = 0;
      const respond = (socket: Socket) =>
        socket.on("data", (bytes) => {
          requests += 1;
          if (requests > 1) {
            const response = createRawResponse(bytes);
            socket.write(response.replace("1.1 200", `1.1 ${status}`));
            return;
          }
          const headers = createRawHead(bytes);
          const fields =
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
          const chunk = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`;
          socket.write(`${headers}${fields}\r\n\r\n${chunk}`);
          setTimeout(() => socket.destroy(), WAIT_STEP_MS);
        });
      const backends = [
        await startRawBackend(respond),
        await startRawBackend(respond),
      ];
      const faults: unknown[] = [];
      const entry = await startEntry({
        backends,
        trySpend: () => true,
        onFault: (defect) => faults.push(defect),
      });
      const response = await call(entry, "/stream/x");
      expect(requests).toEqual(2);
      expect(response.body).toEqual(EVENT);
      expect([response.status, response.isComplete]).toEqual([200, false]);
      expect(faults).toEqual([]);
    });
  }

  it("sends bytes on an idle connection, which is closed", async () => {
    const sockets = new Set<Socket>();
    const backend = await startRawBackend((socket) => {
      sockets.add(socket);
      socket.on("data", (bytes) => {
        socket.write(createRawResponse(bytes));
        setTimeout(() => socket.write("more"), 20);
      });
    });
    const pools = new BackendPools();
    const entry = await startEntry({
      backends: [backend],
      agentFor: (address) => pools.agentFor(address),
    });
    expect((await call(entry, "/safe/x")).status).toEqual(200);
    await waitUntil(() => [...sockets].every(({ destroyed }) => destroyed));
    expect((await call(entry, "/safe/x")).status).toEqual(200);
    expect(sockets.size).toEqual(2);
    pools.close();
  });

  it("truncates a response, which is not forwarded as complete", async () => {
    const backend = await startRawBackend((socket) => {
      socket.on("data", (bytes) => {
        const response = createRawResponse(bytes).replace(
          "Length: 4",
          "Length: 9",
        );
        socket.write(response, () => setTimeout(() => socket.destroy(), 10));
      });
    });
    const entry = await startEntry({ backends: [backend] });
    const response = await call(entry, "/once/x");
    expect(response.status).toEqual(502);
    expect(response.body.includes("done")).toEqual(false);
  });

  // Guards against a head cut short that reaches the caller as a success, and
  // that counts as a connection closed while idle, for one attempt too many.
  it("stops in the middle of its head, on reused connections too", async () => {
    for (const path of ["/safe/x", "/stream/x"]) {
      for (const head of ["HTTP/1.1 200 OK\r\nAttempt-", "HTTP/1.1 2"]) {
        let requests = 0;
        const backends = [];
        for (let index = 0; index < 3; index++) {
          backends.push(
            await startRawBackend((socket) =>
              socket.on("data", (bytes) => {
                requests += 1;
                if (requests <= 3) socket.write(createRawResponse(bytes));
                else socket.end(head, () => socket.resetAndDestroy());
              })
            ),
          );
        }
        const agent = new Agent({ keepAlive: true });
        const entry = await startEntry({ backends, agentFor: () => agent });
        await Promise.all(
          [1, 2, 3].map(() => call(entry, "/safe/x")),
        );
        const response = await call(entry, path);
        expect(response.status).toEqual(502);
        // The route allows two attempts.
        expect(requests <= 3 + 2).toEqual(true);
        agent.destroy();
      }
    }
  });

  // Guards against a request that is held until its deadline, or a status that
  // means nothing to its caller.
  for (const fields of ["", "Connection: upgrade\r\nUpgrade: x\r\n"]) {
    it(`changes the protocol (${fields === "" ? "without" : "with"} its name)`, async () => {
      const startedAtMs = performance.now();
      const response = await callWith((socket, headers) => {
        const status = headers.replace("200 OK", "101 Switching Protocols");
        socket.write(`${status}${fields}\r\nforeign bytes`);
      });
      expect([response.status, response.isClosed]).toEqual([502, true]);
      expect(performance.now() - startedAtMs < ENDLESS_MS).toEqual(true);
    });
  }

  it("sends endless headers", async () => {
    const response = await callWith((socket) => {
      sendEndlessly(socket, "HTTP/1.1 200 OK\r\nX: ");
    });
    expect([response.status, response.isClosed]).toEqual([502, true]);
  });

  it("sends endless interim responses", async () => {
    const response = await callWith((socket) => {
      sendEndlessly(socket, "", "HTTP/1.1 102 Processing\r\n\r\n");
    });
    expect([response.status, response.isClosed]).toEqual([502, true]);
  });

  // Guards against a process that spends its processor time on a chunk size of
  // endless zeros until the deadline of the request.
  it("sends an endless chunk size", async () => {
    for (const type of ["text/plain", "text/event-stream"]) {
      const startedAtMs = performance.now();
      const response = await callWith((socket, headers) => {
        sendEndlessly(
          socket,
          `${headers}Content-Type: ${type}\r\nTransfer-Encoding: chunked\r\n\r\n`,
          ZEROS,
        );
      });
      expect([response.status === 200 && response.isComplete]).toEqual([false]);
      expect(performance.now() - startedAtMs < ENDLESS_MS).toEqual(true);
    }
  });

  it("sends an endless body", async () => {
    const response = await callWith((socket, headers) => {
      sendEndlessly(socket, `${headers}\r\n`);
    });
    expect([response.status, response.isClosed]).toEqual([502, true]);
  });

  it("sends an endless event", async () => {
    const response = await callWith((socket, headers) => {
      sendEndlessly(
        socket,
        `${headers}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: `,
      );
    }, "/stream/x");
    expect([response.isComplete, response.isClosed]).toEqual([false, true]);
    expect(response.body).toEqual("");
  });

  it("rejects a request with an endless body", async () => {
    const response = await callWith((socket, headers) => {
      sendEndlessly(
        socket,
        `${
          headers.replace("200 OK", "503 Service Unavailable")
        }Not-Executed: 1\r\n\r\n`,
      );
    });
    expect([response.status, response.isClosed]).toEqual([503, true]);
  });

  it("and many others send endless bodies concurrently, within the memory bound", async () => {
    const sockets: Socket[] = [];
    const backends = [];
    for (let index = 0; index < MANY; index++) {
      backends.push(
        await startRawBackend((socket) => {
          sockets.push(socket);
          socket.on(
            "data",
            (bytes) => sendEndlessly(socket, `${createRawHead(bytes)}\r\n`),
          );
        }),
      );
    }
    const entry = await startEntry({ backends });
    const before = process.memoryUsage().rss;
    let most = 0;
    const timer = setInterval(() => {
      most = Math.max(most, process.memoryUsage().rss);
    }, 10);
    const responses = await Promise.all(
      backends.map(() => call(entry, "/once/x")),
    );
    clearInterval(timer);
    expect(responses.map(({ status }) => status))
      .toEqual(backends.map(() => 502));
    expect(most - before < MAX_GROWTH_BYTES).toEqual(true);
    await waitUntil(() => sockets.every(({ destroyed }) => destroyed));
  });
});

/** Sends a request to a back end that responds with the given function. */
async function callWith(
  respond: (socket: Socket, headers: string) => void,
  path = "/once/x",
) {
  const sockets: Socket[] = [];
  const backend = await startRawBackend((socket) => {
    sockets.push(socket);
    socket.once(
      "data",
      (bytes) => respond(socket, createRawHead(bytes)),
    );
  });
  const entry = await startEntry({ backends: [backend] });
  const outcome = await call(entry, path);
  await waitUntil(() => sockets.every(({ destroyed }) => destroyed));
  return {
    ...outcome,
    isClosed: sockets.every(({ destroyed }) => destroyed),
  };
}

/** Sends a start, then the same bytes until the peer closes the connection. */
function sendEndlessly(
  socket: Socket,
  start: string,
  more: string | Buffer = CHUNK,
): void {
  socket.write(start);
  const send = () => {
    while (!socket.destroyed && socket.write(more));
  };
  socket.on("drain", send);
  send();
}

const WAIT_STEP_MS = 10;
const MAX_WAITS = 300;

async function waitUntil(isDone: () => boolean): Promise<void> {
  for (let waits = 0; waits < MAX_WAITS && !isDone(); waits++) {
    await new Promise((resolve) => setTimeout(resolve, WAIT_STEP_MS));
  }
}
