import { createServer, type IncomingMessage, request } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { parentPort, workerData } from "node:worker_threads";
import { HEADER_NAMES } from "../platform/words.ts";

/** What a thread beside a test is for. */
export type PeerRole =
  | {
    readonly kind: "backend";
    readonly events: number;
    readonly eventBytes: number;
    /** Counts the streams that have started. */
    readonly started: Int32Array;
  }
  | {
    readonly kind: "callers";
    /** Path of the entry's socket. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
  };

/** What callers are to do. */
export type CallerTask =
  | { readonly kind: "open-unread"; readonly count: number }
  | { readonly kind: "read-stream"; readonly callId: string }
  | { readonly kind: "close" };

/** A stream that a caller has read to its end. */
export interface ReadStream {
  readonly bytes: number;
  readonly durationMs: number;
}

const HOST = "127.0.0.1";

function serveStreams(
  { events, eventBytes, started }: PeerRole & { readonly kind: "backend" },
): void {
  const texts = Array.from(
    { length: events },
    (_, id) => createEvent(id, eventBytes),
  );
  const server = createServer((incoming, response) => {
    Atomics.add(started, 0, 1);
    response.writeHead(200, {
      [HEADER_NAMES.callId]: idOf(incoming),
      [HEADER_NAMES.stamp]: "s",
      "content-type": "text/event-stream",
    });
    for (const text of texts) response.write(text);
    response.end();
  });
  server.listen(0, HOST, () => {
    const { port } = server.address() as AddressInfo;
    parentPort!.postMessage(`${HOST}:${port}`);
  });
}

function createEvent(id: number, bytes: number): Buffer {
  const start = `id: ${id}\ndata: `;
  const end = "\n\n";
  const padding = "x".repeat(bytes - start.length - end.length);
  return Buffer.from(`${start}${padding}${end}`);
}

function idOf(incoming: IncomingMessage): string {
  return String(incoming.headers[HEADER_NAMES.callId]);
}

function runCallers(
  { path, headers }: PeerRole & { readonly kind: "callers" },
): void {
  const sockets: Socket[] = [];
  parentPort!.on("message", async (task: CallerTask) => {
    switch (task.kind) {
      case "open-unread":
        for (let index = 0; index < task.count; index++) {
          const callId = `slow-${index}`;
          sockets.push(
            sendUnread(path, { ...headers, [HEADER_NAMES.callId]: callId }),
          );
        }
        break;
      case "read-stream": {
        const { callId } = task;
        const sent = { ...headers, [HEADER_NAMES.callId]: callId };
        parentPort!.postMessage(await readStream(path, sent));
        break;
      }
      case "close":
        for (const socket of sockets) socket.destroy();
    }
  });
}

type Headers = Readonly<Record<string, string>>;

/** Sends a request for a stream, of which nothing is read. */
function sendUnread(path: string, headers: Headers): Socket {
  const socket = connect(path);
  socket.on("error", () => {});
  socket.pause();
  const lines = Object.entries(headers)
    .map(([name, value]) => `${name}: ${value}\r\n`).join("");
  socket.write(`GET /stream/x HTTP/1.1\r\n${lines}\r\n`);
  return socket;
}

/** Reads a stream to its end; a failure ends the thread, and with it the test. */
async function readStream(path: string, headers: Headers): Promise<ReadStream> {
  const startedAtMs = performance.now();
  const sent = request({
    socketPath: path,
    path: "/stream/x",
    agent: false,
    headers,
  });
  const bytes = await new Promise<number>((resolve, reject) => {
    let count = 0;
    sent.on("error", reject);
    sent.on("response", (response) => {
      response.on("data", (chunk: Buffer) => count += chunk.length);
      response.on("error", reject);
      response.on("end", () => resolve(count));
    });
    sent.end();
  });
  return { bytes, durationMs: performance.now() - startedAtMs };
}

const role = workerData as PeerRole;
if (role.kind === "backend") serveStreams(role);
else runCallers(role);
