import {
  createFakeConfig,
  FAKE_MODEL,
  fakePaths,
  FakePlatform,
} from "@celerytray/fakes";
import { expect } from "earl";
import { once } from "node:events";
import { connect } from "node:net";
import { after, describe, it } from "node:test";
import { type HostProcess, startHostProcess } from "./host_process.ts";
import { HOST_PROGRAM, WAIT_OPTIONS } from "./start_host_cluster.ts";
import { waitUntil } from "./wait_until.ts";

const KEY = "key-1";
/** A stream has five events and ends a pause after the last one. */
const EVENT_PAUSE_MS = 300;
const LONG_DEADLINE_MS = 8_000;
/** A stream of this deadline is broken off between two events. */
const SHORT_DEADLINE_MS = 1_000;
const cleanups: (() => unknown)[] = [];

after(async () => {
  for (const close of cleanups.reverse()) await close();
});

// Guards against streams that are lost, though they run, with the connection of
// one before them whose time is over, and that the log calls served (LOST).
describe("two streams of a whole process on one connection", () => {
  it("are answered one after the other", async () => {
    const { process, arrivedIds } = await startCluster();
    const text = await send(process, [
      { id: "a-1", deadlineMs: LONG_DEADLINE_MS },
      { id: "a-2", deadlineMs: LONG_DEADLINE_MS, isLast: true },
    ]);
    expect(listAnswered(text)).toEqual(["a-1", "a-2"]);
    expect(text.endsWith("\r\n0\r\n\r\n")).toEqual(true);
    expect(arrivedIds).toEqual(["a-1", "a-2"]);
  });

  it("are not both lost if the first one's time is over", async () => {
    const { process, arrivedIds } = await startCluster();
    const text = await send(process, [
      { id: "b-1", deadlineMs: SHORT_DEADLINE_MS },
      { id: "b-2", deadlineMs: LONG_DEADLINE_MS },
    ]);
    expect(listAnswered(text)).toEqual(["b-1"]);
    expect(arrivedIds).toEqual(["b-1"]);
    await waitUntil("the second one is logged", {
      ...WAIT_OPTIONS,
      check: () => Promise.resolve(findEnded(process, "b-2") !== undefined),
    });
    const { outcome, attempts } = findEnded(process, "b-2")!;
    expect([outcome, attempts]).toEqual(["left", []]);
  });
});

interface SentRequest {
  readonly id: string;
  readonly deadlineMs: number;
  /** Whether its connection is closed after its answer. */
  readonly isLast?: boolean;
}

/** Starts a process in front of a single replica of two instances. */
async function startCluster() {
  const arrivedIds: string[] = [];
  const platform = new FakePlatform({
    onArrival: ({ callId }) => arrivedIds.push(callId),
  });
  cleanups.push(() => platform.stop());
  const storeAddress = await platform.start();
  platform.publishConfig(createFakeConfig({
    version: 1,
    tenants: [{ name: "o", keys: [KEY] }],
  }));
  for (const id of ["model-0", "model-1"]) {
    await platform.startInstance(id, "domain-0");
  }
  const process = await startHostProcess({
    nodeId: "front-1",
    storeAddress,
    program: HOST_PROGRAM,
  });
  cleanups.push(process.remove);
  await waitUntil("the process serves streams", {
    ...WAIT_OPTIONS,
    check: async () => {
      const text = await send(process, [
        { id: "first", deadlineMs: LONG_DEADLINE_MS, isLast: true },
      ]);
      return text.startsWith("HTTP/1.1 200 ");
    },
  });
  for (const instance of platform.instances.values()) {
    instance.eventPauseMs = EVENT_PAUSE_MS;
  }
  arrivedIds.length = 0;
  return { process, arrivedIds };
}

/** Sends requests in one write; returns all bytes until the connection closes. */
async function send(
  { address }: HostProcess,
  requests: readonly SentRequest[],
): Promise<string> {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => {});
  let text = "";
  socket.on("data", (bytes) => text += bytes.toString());
  socket.write(requests.map(encodeRequest).join(""));
  await once(socket, "close");
  return text;
}

function encodeRequest({ id, deadlineMs, isLast }: SentRequest): string {
  const prompt = `prompt of ${id}`;
  return `POST ${fakePaths.stream} HTTP/1.1\r\nHost: a.example\r\n` +
    `Attempt-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\nX-Api-Key: ${KEY}\r\n` +
    `Model: ${FAKE_MODEL}\r\n${
      isLast === true ? "Connection: close\r\n" : ""
    }` +
    `Content-Length: ${prompt.length}\r\n\r\n${prompt}`;
}

function listAnswered(text: string): readonly string[] {
  return [...text.matchAll(/^attempt-id: (\S+)\r$/gim)].map(([, id]) => id!);
}

/** The line of the log about the end of a call. */
function findEnded(
  process: HostProcess,
  callId: string,
): { readonly outcome: string; readonly attempts: string[] } | undefined {
  return process.log().split("\n").filter((line) => line.endsWith("}"))
    .map((line) => JSON.parse(line))
    .find((entry) => entry.event === "call.ended" && entry.callId === callId);
}
