import { expect } from "earl";
import { Agent } from "node:http";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { BackendPools } from "../http/index.ts";
import {
  call,
  createRawAnswer,
  startEntry,
  startRawBackend,
} from "./test_entry.ts";

const MEBIBYTE = 1024 * 1024;
/** Memory that many answers without end may take at once. */
const MAX_GROWTH_BYTES = 160 * MEBIBYTE;
const MANY = 24;
const CHUNK = Buffer.alloc(64 * 1024, "x");

describe("a back end in trouble", () => {
  it("sends a second copy of an answer, late, on a connection in use again", async () => {
    for (const hasId of [true, false]) {
      let requests = 0;
      let copy = "";
      const backend = await startRawBackend((socket) => {
        socket.on("data", (bytes) => {
          requests += 1;
          const answer = createRawAnswer(bytes);
          if (requests === 1) {
            copy = hasId ? answer : answer.replace(/attempt-id: \S+\r\n/i, "");
            socket.write(answer);
          } else if (requests === 2) {
            // Just as the answer to the next request is due.
            socket.write(copy.replace("done", "late"));
          } else socket.write(answer);
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

  it("sends bytes on a connection that is not in use, which is closed", async () => {
    const sockets = new Set<Socket>();
    const backend = await startRawBackend((socket) => {
      sockets.add(socket);
      socket.on("data", (bytes) => {
        socket.write(createRawAnswer(bytes));
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

  it("breaks an answer off, which never looks complete", async () => {
    const backend = await startRawBackend((socket) => {
      socket.on("data", (bytes) => {
        const answer = createRawAnswer(bytes).replace("Length: 4", "Length: 9");
        socket.write(answer, () => setTimeout(() => socket.destroy(), 10));
      });
    });
    const entry = await startEntry({ backends: [backend] });
    const answer = await call(entry, "/once/x");
    expect(answer.status).toEqual(502);
    expect(answer.body.includes("done")).toEqual(false);
  });

  it("sends a head without end", async () => {
    const answer = await callWith((socket) => {
      sendWithoutEnd(socket, "HTTP/1.1 200 OK\r\nX: ");
    });
    expect([answer.status, answer.isClosed]).toEqual([502, true]);
  });

  it("sends interim answers without end", async () => {
    const answer = await callWith((socket) => {
      sendWithoutEnd(socket, "", "HTTP/1.1 102 Processing\r\n\r\n");
    });
    expect([answer.status, answer.isClosed]).toEqual([502, true]);
  });

  it("sends a body without end", async () => {
    const answer = await callWith((socket, head) => {
      sendWithoutEnd(socket, `${head}\r\n`);
    });
    expect([answer.status, answer.isClosed]).toEqual([502, true]);
  });

  it("sends an event without end", async () => {
    const answer = await callWith((socket, head) => {
      sendWithoutEnd(
        socket,
        `${head}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: `,
      );
    }, "/stream/x");
    expect([answer.isWhole, answer.isClosed]).toEqual([false, true]);
    expect(answer.body).toEqual("");
  });

  it("turns a request away with a body without end", async () => {
    const answer = await callWith((socket) => {
      sendWithoutEnd(
        socket,
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n",
      );
    });
    expect([answer.status, answer.isClosed]).toEqual([503, true]);
  });

  it("and many others send bodies without end at once, within bounds of memory", async () => {
    const sockets: Socket[] = [];
    const backends = [];
    for (let index = 0; index < MANY; index++) {
      backends.push(
        await startRawBackend((socket) => {
          sockets.push(socket);
          socket.on(
            "data",
            (bytes) => sendWithoutEnd(socket, `${createHead(bytes)}\r\n`),
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
    const answers = await Promise.all(
      backends.map(() => call(entry, "/once/x")),
    );
    clearInterval(timer);
    expect(answers.every(({ status }) => status === 502)).toEqual(true);
    expect(most - before < MAX_GROWTH_BYTES).toEqual(true);
    await waitUntil(() => sockets.every(({ destroyed }) => destroyed));
  });
});

/** Sends a request to a back end that answers it in its own way. */
async function callWith(
  answer: (socket: Socket, head: string) => void,
  path = "/once/x",
) {
  const sockets: Socket[] = [];
  const backend = await startRawBackend((socket) => {
    sockets.push(socket);
    socket.once("data", (bytes) => answer(socket, createHead(bytes)));
  });
  const entry = await startEntry({ backends: [backend] });
  const outcome = await call(entry, path);
  await waitUntil(() => sockets.every(({ destroyed }) => destroyed));
  return {
    ...outcome,
    isClosed: sockets.every(({ destroyed }) => destroyed),
  };
}

/** The head of a success that has no length, but for its end. */
function createHead(request: Buffer): string {
  const id = /attempt-id: (\S+)/i.exec(request.toString())?.[1];
  return `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\n`;
}

/** Sends a beginning, then the same bytes until the other end closes. */
function sendWithoutEnd(
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
