import { expect } from "earl";
import { once } from "node:events";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { Worker } from "node:worker_threads";
import { HEADER_NAMES } from "../platform/words.ts";
import { HeldBytes } from "./exchange/index.ts";
import type { CallerTask, PeerRole, ReadStream } from "./slow_callers_peers.ts";
import { StallDetector } from "./stall_detector.ts";
import {
  call,
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
const peers: Worker[] = [];

after(async () => {
  for (const peer of peers) await peer.terminate();
  for (const path of directories) await rm(path, { recursive: true });
});

// Guards against figures of the back end and the callers, which have threads of
// their own, in place of those of the entry.
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
    const { callers, countStarted } = await startStreams({ held, stalls });
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
      // Until all streams have started, the back end is itself slow to respond.
      if (countStarted() < CALLERS) return;
      stalls.noteRead(readNowMs());
      suspicions += stalls.findSuspected(readNowMs()).length;
    };
    timer.unref();
    order(callers, { kind: "open-unread", count: CALLERS });
    for (let waits = 0; waits < 500 && countStarted() < CALLERS; waits++) {
      await pause(20);
    }
    for (let count = 0; count < 5; count++) {
      const { bytes, durationMs } = await readStream(
        callers,
        `fast-${count}`,
      );
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
    order(callers, { kind: "close" });
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
}

/** Starts a back end, an entry before it and threads for its callers. */
async function startStreams(entryOptions: Streams) {
  const started = new Int32Array(new SharedArrayBuffer(4));
  const backend = startPeer({
    kind: "backend",
    events: EVENTS,
    eventBytes: EVENT_BYTES,
    started,
  });
  const [address] = await once(backend, "message") as [string];
  const target = {
    instanceId: "backend",
    address,
    zone: "z",
    slots: 2 * CALLERS,
    epoch: 0,
  };
  const directory = await mkdtemp(join(tmpdir(), "callers-"));
  directories.push(directory);
  const path = join(directory, "entry");
  const timeoutMs = 20_000;
  await startLocalEntry(
    { backends: [target], timeoutMs, ...entryOptions },
    path,
  );
  const headers = LONG_TIMEOUT_HEADERS;
  return {
    callers: startPeer({ kind: "callers", path, headers }),
    countStarted: () => Atomics.load(started, 0),
  };
}

function startPeer(role: PeerRole): Worker {
  const peer = new Worker(new URL("slow_callers_peers.js", import.meta.url), {
    workerData: role,
  });
  peers.push(peer);
  return peer;
}

function order(callers: Worker, task: CallerTask): void {
  callers.postMessage(task);
}

async function readStream(
  callers: Worker,
  callId: string,
): Promise<ReadStream> {
  const ended = once(callers, "message");
  order(callers, { kind: "read-stream", callId });
  const [read] = await ended as [ReadStream];
  return read;
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
