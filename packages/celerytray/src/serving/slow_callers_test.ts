import { expect } from "earl";
import { mkdtemp, rm } from "node:fs/promises";
import type { RequestListener } from "node:http";
import { request } from "node:http";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { HEADER_NAMES } from "../platform/words.ts";
import { HeldBytes } from "./exchange/index.ts";
import { StallDetector } from "./stall_detector.ts";
import {
  call,
  idOf,
  readNowMs,
  startBackend,
  startEntry,
  startLocalEntry,
} from "./test_entry.ts";

const CALLERS = 500;
const EVENT_BYTES = 16 * 1024;
/** A Unix domain socket buffers 208 KB before its writer has to wait. */
const EVENTS = 40;
const MB = 1024 * 1024;
const MAX_HELD_BYTES = 12 * MB;
/** Allowed growth beside the held bytes, such as for connections. */
const OTHER_GROWTH_BYTES = 32 * MB;
const LONG_TIMEOUT_HEADERS = {
  host: "a.example",
  [HEADER_NAMES.deadline]: "20000",
  [HEADER_NAMES.apiKey]: "key-1",
};
const directories: string[] = [];
const sockets: Socket[] = [];

after(async () => {
  for (const socket of sockets) socket.destroy();
  for (const path of directories) await rm(path, { recursive: true });
});

describe("callers that do not read", () => {
  // Without the bound the process would buffer over 200 MB.
  it("take no more memory than the bound, and delay nobody", async () => {
    const cut: string[] = [];
    const held = new HeldBytes({
      maxBytes: MAX_HELD_BYTES,
      nowMs: () => 0,
      onCut: ({ callId }) => cut.push(callId),
    });
    // This process lags with 500 callers, so it reads before it looks for stalls.
    const stalls = new StallDetector({ isBehind: () => true });
    let startedStreams = 0;
    const onStarted = () => startedStreams += 1;
    const path = await startStreams({ held, stalls, onStarted });
    const before = measureMemory();
    let maxGrowth = 0;
    let maxHeld = 0;
    let suspicions = 0;
    const timer = setInterval(() => {
      maxGrowth = Math.max(maxGrowth, measureMemory() - before);
      maxHeld = Math.max(maxHeld, held.totalBytes);
      setImmediate(() => setImmediate(countSuspicions));
    }, 100);
    const countSuspicions = () => {
      // Until all streams have started, the back end in this process is itself
      // slow to respond.
      if (startedStreams < CALLERS) return;
      stalls.noteRead(readNowMs());
      suspicions += stalls.findSuspected(readNowMs()).length;
    };
    timer.unref();
    for (let index = 0; index < CALLERS; index++) {
      sendUnread(path, `slow-${index}`);
    }
    for (let waits = 0; waits < 500 && startedStreams < CALLERS; waits++) {
      await pause(20);
    }
    for (let count = 0; count < 5; count++) {
      const { bytes, durationMs } = await readStream(path, `fast-${count}`);
      expect(bytes).toEqual(EVENTS * EVENT_BYTES);
      expect(durationMs < MAX_FAST_MS).toEqual(true);
      await pause(600);
    }
    clearInterval(timer);
    expect(cut.length > 0).toEqual(true);
    expect(cut.every((callId) => callId.startsWith("slow-"))).toEqual(true);
    expect(maxHeld <= MAX_HELD_BYTES).toEqual(true);
    expect(maxGrowth < MAX_HELD_BYTES + OTHER_GROWTH_BYTES).toEqual(true);
    expect(suspicions).toEqual(0);
    for (const socket of sockets) socket.destroy();
    for (let waits = 0; waits < 100 && held.totalBytes > 0; waits++) {
      await pause(20);
    }
    expect(held.totalBytes).toEqual(0);
  });

  it("refuses a body that exceeds the memory bound, as not run", async () => {
    let calls = 0;
    const backend = await startBackend(() => calls += 1);
    const withheld: string[] = [];
    const entry = await startEntry({
      backends: [backend],
      held: new HeldBytes({ maxBytes: 3, nowMs: () => 0, onCut: () => {} }),
      onWithheld: (reason) => withheld.push(reason),
    });
    const chunked = { "transfer-encoding": "chunked" };
    for (const extraHeaders of [undefined, chunked]) {
      const response = await call(entry, "/safe/x", extraHeaders);
      expect([response.status, response.headers["retry-after"]])
        .toEqual([503, "0.50"]);
    }
    expect([calls, withheld]).toEqual([0, ["memory", "memory"]]);
  });
});

/** Longest stream to a caller that reads; slow callers pause theirs for 1.5 s. */
const MAX_FAST_MS = 1_500;

interface Streams {
  readonly held: HeldBytes;
  readonly stalls: StallDetector;
  readonly onStarted: () => void;
}

async function startStreams(
  { onStarted, ...entryOptions }: Streams,
): Promise<string> {
  const events = Array.from({ length: EVENTS }, (_, id) => createEvent(id));
  const stream: RequestListener = (incoming, response) => {
    onStarted();
    response.writeHead(200, {
      [HEADER_NAMES.callId]: idOf(incoming),
      [HEADER_NAMES.stamp]: "s",
      "content-type": "text/event-stream",
    });
    for (const event of events) response.write(event);
    response.end();
  };
  const backend = { ...await startBackend(stream), slots: 2 * CALLERS };
  const directory = await mkdtemp(join(tmpdir(), "callers-"));
  directories.push(directory);
  const path = join(directory, "entry");
  const timeoutMs = 20_000;
  await startLocalEntry(
    { backends: [backend], timeoutMs, ...entryOptions },
    path,
  );
  return path;
}

function createEvent(id: number): Buffer {
  const start = `id: ${id}\ndata: `;
  const end = "\n\n";
  const paddingBytes = EVENT_BYTES - start.length - end.length;
  return Buffer.from(`${start}${"x".repeat(paddingBytes)}${end}`);
}

function sendUnread(path: string, callId: string): void {
  const socket = connect(path);
  sockets.push(socket);
  socket.on("error", () => {});
  socket.pause();
  const lines = Object.entries({
    ...LONG_TIMEOUT_HEADERS,
    [HEADER_NAMES.callId]: callId,
  })
    .map(([name, value]) => `${name}: ${value}\r\n`).join("");
  socket.write(`GET /stream/x HTTP/1.1\r\n${lines}\r\n`);
}

async function readStream(path: string, callId: string) {
  const startedAtMs = readNowMs();
  const sent = request({
    socketPath: path,
    path: "/stream/x",
    agent: false,
    headers: { ...LONG_TIMEOUT_HEADERS, [HEADER_NAMES.callId]: callId },
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
  return { bytes, durationMs: readNowMs() - startedAtMs };
}

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Returns the memory in use after a garbage collection. */
function measureMemory(): number {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
