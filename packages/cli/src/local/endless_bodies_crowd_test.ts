import {
  callPlatform,
  createFakeConfig,
  fakePaths,
  FakePlatform,
} from "@celerytray/fakes";
import { expect } from "earl";
import { once } from "node:events";
import { Agent } from "node:http";
import { readdir, readFile } from "node:fs/promises";
import { connect, type Socket } from "node:net";
import { after, afterEach, describe, it } from "node:test";
import { type HostProcess, startHostProcess } from "./host_process.ts";
import { HOST_PROGRAM, WAIT_OPTIONS } from "./start_host_cluster.ts";
import { waitUntil } from "./wait_until.ts";

const KEY = "key-1";
const OTHER_KEY = "key-2";
const OTHER_PATH = "/nowhere/x";
const DEADLINE_MS = 4_000;
const MAX_BODY_BYTES = 200_000;
const ORDINARY_BODY = "x".repeat(150_000);
/** Memory of the machine, and its part for objects, as in the deploy file. */
const MEMORY_MB = 160;
const HEAP_MB = 92;
const MAX_FDS = 400;
const KB_PER_MB = 1024;
/** Bytes by which a body stops short of its end. */
const MISSING_BYTES = 10;
const LIMITED = { timeout: 120_000 };
const cleanups: (() => unknown)[] = [];
const sockets: Socket[] = [];

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
});

after(async () => {
  for (const close of cleanups.reverse()) await close();
});

interface Crowd {
  readonly bodies: number;
  readonly bodyBytes: number;
  readonly chunkBytes: number;
}

// Guards against a process that ends, out of memory, as it keeps an object for
// each chunk of bodies that are sent in very small ones and never end.
describe("bodies in chunks that stop short of their end", () => {
  const crowds: Readonly<Record<string, Crowd>> = {
    "of one byte": { bodies: 30, bodyBytes: 100_000, chunkBytes: 1 },
    "of 16 bytes": { bodies: 100, bodyBytes: 150_000, chunkBytes: 16 },
    "of 60,000 bytes": {
      bodies: 300,
      bodyBytes: MAX_BODY_BYTES,
      chunkBytes: 60_000,
    },
    // Together they exceed the bound on held bytes, each is a small part of it.
    "of 8,000 bytes, which fill the memory for bodies": {
      bodies: 200,
      bodyBytes: 80_000,
      chunkBytes: 8_000,
    },
  };
  for (const [size, crowd] of Object.entries(crowds)) {
    it(
      `leave the process alive, within its memory (${size})`,
      LIMITED,
      async () => {
        const process = await startEntry();
        const senders = Array.from(
          { length: crowd.bodies },
          () =>
            sendBody(process, {
              path: fakePaths.once,
              key: KEY,
              chunkBytes: crowd.chunkBytes,
              bodyBytes: crowd.bodyBytes - MISSING_BYTES,
            }),
        );
        await Promise.all(senders);
        await expectServing(process);
        for (const socket of sockets.splice(0)) {
          socket.destroy();
        }
        await expectServing(process);
        await expectWithinBounds(process);
      },
    );
  }

  it("are served, if a single one has all of its bytes", LIMITED, async () => {
    const process = await startEntry();
    const bodyBytes = MAX_BODY_BYTES;
    const request = { path: fakePaths.safe, key: KEY, chunkBytes: 1 };
    const sender = await sendBody(process, { ...request, bodyBytes }, {
      end: "0\r\n\r\n",
      awaitsAnswer: true,
    });
    expect(sender.text.split("\r\n")[0]).toEqual("HTTP/1.1 200 OK");
    await expectWithinBounds(process);
  });
});

// Guards against a process that reads on and on what was refused, and has no time
// for anything else.
describe("endless bodies of requests that are refused", () => {
  const refused = {
    "to no route": { path: OTHER_PATH, key: KEY },
    "without a known key": { path: fakePaths.safe, key: OTHER_KEY },
  };
  for (const [what, request] of Object.entries(refused)) {
    it(`end with their connection (${what})`, LIMITED, async () => {
      const process = await startEntry();
      const senders = Array.from({ length: 8 }, () =>
        sendBody(process, {
          ...request,
          chunkBytes: 1,
          bodyBytes: 3 * MAX_BODY_BYTES,
        }));
      await Promise.all(senders);
      await waitUntil("all connections are closed", {
        ...WAIT_OPTIONS,
        check: () =>
          Promise.resolve(
            sockets.every(({ destroyed }) => destroyed) || !isAlive(process),
          ),
      });
      await expectServing(process);
      await expectWithinBounds(process);
    });
  }
});

// Guards against a process that reads all connections before it has time for any
// other, where each read holds ten thousand chunks of a body.
describe("connections that all send very small chunks at once", () => {
  it("leave time for another caller", LIMITED, async () => {
    const process = await startEntry();
    const agent = new Agent({ keepAlive: true });
    cleanups.push(() => agent.destroy());
    await expectAnswer(process, agent);
    const crowd = Array.from({ length: 80 }, () => openSocket(process));
    await Promise.all(crowd.map((socket) => once(socket, "connect")));
    // Any process has read these by then.
    await expectAnswer(process, agent);
    let refusedCount = 0;
    for (const socket of crowd) {
      socket.once("data", () => refusedCount += 1);
      socket.write(
        head({ path: OTHER_PATH, key: KEY }) + "1\r\nx\r\n".repeat(20_000),
      );
    }
    await expectAnswer(process, agent);
    expect(refusedCount <= crowd.length / 2).toEqual(true);
    await expectServing(process);
    await expectWithinBounds(process);
  });
});

// Guards against callers that take all of a process's descriptors, so that
// neither other callers nor back ends get any.
describe("connections that send no whole request", () => {
  it("leave descriptors for others", LIMITED, async () => {
    const process = await startEntry();
    for (let count = 0; count < 2 * MAX_FDS; count++) {
      const socket = openSocket(process);
      socket.write("POST /x HTTP/1.1\r\nHost: a.exa");
    }
    await expectServing(process);
    await expectWithinBounds(process);
  });
});

async function startEntry(): Promise<HostProcess> {
  const platform = new FakePlatform();
  cleanups.push(() => platform.stop());
  const storeAddress = await platform.start();
  platform.publishConfig(createFakeConfig({
    version: 1,
    tenants: [{ name: "o", keys: [KEY] }],
    maxBodyBytes: MAX_BODY_BYTES,
    plainTimeoutMs: DEADLINE_MS,
  }));
  await platform.startPlainInstance("plain-0", "zone-a");
  const process = await startHostProcess({
    nodeId: "front-1",
    storeAddress,
    program: HOST_PROGRAM,
    settings: { "limits.memory_mb": MEMORY_MB, "limits.max_fds": MAX_FDS },
    environment: { NODE_OPTIONS: `--max-old-space-size=${HEAP_MB}` },
  });
  cleanups.push(process.remove);
  await expectServing(process);
  return process;
}

/** Expects that an ordinary request is answered, at the latest after a while. */
async function expectServing(process: HostProcess): Promise<void> {
  await waitUntil("an ordinary request is answered", {
    ...WAIT_OPTIONS,
    check: async () => {
      if (!isAlive(process)) return true;
      const { status } = await callPlatform({
        address: process.address,
        path: fakePaths.safe,
        callId: `ordinary-${performance.now()}`,
        key: KEY,
        prompt: ORDINARY_BODY,
        deadlineMs: DEADLINE_MS,
        agent: false,
      });
      return status === 200;
    },
  });
  expect(isAlive(process)).toEqual(true);
}

/** Expects that an ordinary request on a kept connection is answered. */
async function expectAnswer(
  { address }: HostProcess,
  agent: Agent,
): Promise<void> {
  const { status } = await callPlatform({
    address,
    path: fakePaths.safe,
    callId: `kept-${performance.now()}`,
    key: KEY,
    prompt: "x",
    deadlineMs: 10 * DEADLINE_MS,
    agent,
  });
  expect(status).toEqual(200);
}

async function expectWithinBounds(process: HostProcess): Promise<void> {
  expect(isAlive(process)).toEqual(true);
  const folder = `/proc/${process.child.pid}`;
  const status = await readFile(`${folder}/status`, "utf8");
  const peakKb = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]);
  expect(peakKb <= MEMORY_MB * KB_PER_MB).toEqual(true);
  const descriptors = await readdir(`${folder}/fd`);
  expect(descriptors.length <= MAX_FDS).toEqual(true);
}

function isAlive({ child }: HostProcess): boolean {
  return child.exitCode === null && child.signalCode === null;
}

interface Body {
  readonly path: string;
  readonly key: string;
  readonly chunkBytes: number;
  readonly bodyBytes: number;
}

/** What a sender got by the time when it had sent its bytes. */
interface Sent {
  readonly text: string;
}

/** Sends a body in chunks; resolves once it is sent or the connection closed. */
function sendBody(
  process: HostProcess,
  { path, key, chunkBytes, bodyBytes }: Body,
  { end = "", awaitsAnswer = false } = {},
): Promise<Sent> {
  const socket = openSocket(process);
  const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
  const perWrite = Math.max(1, Math.floor(60_000 / chunk.length));
  let remaining = Math.floor(bodyBytes / chunkBytes);
  let text = "";
  return new Promise((resolve) => {
    const finish = () => resolve({ text });
    const send = () => {
      while (remaining > 0 && !socket.destroyed) {
        const count = Math.min(perWrite, remaining);
        remaining -= count;
        if (!socket.write(chunk.repeat(count))) return;
      }
      if (!awaitsAnswer) socket.write(end, finish);
      else socket.write(end);
      socket.off("drain", send);
    };
    socket.on("data", (bytes) => {
      text += bytes.toString();
      if (awaitsAnswer) finish();
    });
    socket.on("close", finish);
    socket.on("drain", send);
    socket.write(head({ path, key }));
    send();
  });
}

function head({ path, key }: Pick<Body, "path" | "key">): string {
  return `POST ${path} HTTP/1.1\r\nHost: a.example\r\n` +
    `Attempt-Id: crowd-${sockets.length}\r\nDeadline-Ms: 20000\r\n` +
    `X-Api-Key: ${key}\r\nTransfer-Encoding: chunked\r\n\r\n`;
}

function openSocket({ address }: HostProcess): Socket {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => {});
  sockets.push(socket);
  return socket;
}
