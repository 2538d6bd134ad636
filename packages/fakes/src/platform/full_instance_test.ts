import { expect } from "earl";
import { request } from "node:http";
import { after, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { FakeInstanceServer } from "./fake_instance_server.ts";
import { FakePlatform } from "./fake_platform.ts";

const ID = "model-0";
const POLL_MS = 5;
const EVENT_PAUSE_MS = 200;
const MAX_CONNECTIONS = 10;
const LIMITS = {
  slots: 1,
  maxWaiting: 2,
  maxConnections: MAX_CONNECTIONS,
  connectionsPerWaiting: 0,
};
const cleanups: (() => unknown)[] = [];

after(() => {
  for (const close of cleanups.reverse()) close();
});

// Guards against a stand-in whose heads take any number of requests at a time, so
// that nothing shows what callers get as heads are full.
describe("a full head", () => {
  it("runs requests in the order of arrival and refuses the rest", async () => {
    const { server, send } = await startHead();
    server.limitHead({ ...LIMITS, maxWaiting: 1 });
    const first = send("first");
    await awaitRuns(server, 1);
    const second = send("second");
    await awaitWaiting(server, 1);
    expect(await send("third")).toEqual(503);
    expect(await Promise.all([first, second])).toEqual([200, 200]);
    expect(server.executedCallIds).toEqual(["first", "second"]);
  });

  it("resets new connections while its queue is long", async () => {
    const { server, send } = await startHead();
    server.limitHead({ ...LIMITS, connectionsPerWaiting: MAX_CONNECTIONS });
    const answers = [send("first")];
    await awaitRuns(server, 1);
    answers.push(send("second"));
    await awaitWaiting(server, 1);
    expect(await send("third")).toEqual(0);
    expect(await Promise.all(answers)).toEqual([200, 200]);
    expect(await send("fourth")).toEqual(200);
  });

  it("runs no request whose connection closed in the queue", async () => {
    const { server, send } = await startHead();
    server.limitHead(LIMITS);
    const answers = [send("first")];
    await awaitRuns(server, 1);
    const left = new AbortController();
    const second = send("second", left.signal);
    await awaitWaiting(server, 1);
    answers.push(send("third"));
    left.abort();
    expect(await second).toEqual(0);
    expect(await Promise.all(answers)).toEqual([200, 200]);
    expect(server.executedCallIds).toEqual(["first", "third"]);
  });
});

/** A model instance that is the head and only member of an open replica. */
async function startHead() {
  let address = "";
  const platform = new FakePlatform({
    resolveListedAddress: (_id, listed) => Promise.resolve(address = listed),
  });
  cleanups.push(() => platform.stop());
  await platform.start();
  await platform.startInstance(ID, "domain");
  const server = platform.instances.get(ID)!;
  server.eventPauseMs = EVENT_PAUSE_MS;
  const replica = { replica: "replica", epoch: 1, fence: 1 };
  const members = [ID];
  const { instance } = server;
  const join = { kind: "join", model: "model", members, ...replica } as const;
  instance.applyOrder(join, performance.now());
  while (instance.membership?.state !== "ready") await sleep(POLL_MS);
  instance.applyOrder({ kind: "open", ...replica }, performance.now());
  const send = (callId: string, signal?: AbortSignal) =>
    sendRequest({ address, callId, ...(signal && { signal }) });
  return { server, send };
}

async function awaitRuns(
  { executedCallIds }: FakeInstanceServer,
  count: number,
): Promise<void> {
  while (executedCallIds.length < count) await sleep(POLL_MS);
}

async function awaitWaiting(
  server: FakeInstanceServer,
  count: number,
): Promise<void> {
  while (server.waitingCount < count) await sleep(POLL_MS);
}

/** Returns the status; 0 if the connection failed. */
async function sendRequest(
  { address, callId, signal }: {
    readonly address: string;
    readonly callId: string;
    readonly signal?: AbortSignal;
  },
): Promise<number> {
  const headers = { "attempt-id": callId, "expect-instance": ID };
  const options = { method: "POST", headers, agent: false, signal };
  return await new Promise((resolve) =>
    request(`http://${address}/drafts/x`, options)
      .on("response", (response) => {
        response.resume().on("close", () => resolve(response.statusCode!));
      })
      .on("error", () => resolve(0))
      .end("prompt")
  );
}
