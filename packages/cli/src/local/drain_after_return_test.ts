import {
  callPlatform,
  createFakeConfig,
  type FakeArrival,
  fakePaths,
  FakePlatform,
} from "@celerytray/fakes";
import { expect } from "earl";
import { after, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { HostProcess } from "./host_process.ts";
import { startProcess, WAIT_OPTIONS } from "./start_host_cluster.ts";
import { waitUntil } from "./wait_until.ts";

const PROCESSES = ["front-1", "front-2", "front-3"];
const INSTANCES = ["plain-0", "plain-1", "plain-2"];
const KEY = "key-1";
/** Time after the store's ack after which no request may reach the instance. */
const DRAIN_MS = 2_000;
const AWAY_MS = 900;
/** Time for which the store serves instances, but no process yet. */
const UNREACHED_MS = 700;
/** Longer than it takes until all processes have read a change. */
const SETTLE_MS = 1_500;
const CALL_PAUSE_MS = 40;
const DEADLINE_MS = 1_000;
const OBSERVED_MS = 6_000;

const cleanups: (() => void)[] = [];

after(() => {
  for (const close of cleanups.reverse()) close();
});

// Guards against requests to an instance whose report that it is draining is
// the first that processes read of it after the store came back from a copy.
describe("host processes, after the store came back from an older copy", () => {
  it("send nothing to an instance that drains", async () => {
    const { platform, arrivals, processes } = await startPlainCluster();
    const { storeServer } = platform;
    const copy = storeServer.store.copy();
    // The copy lacks some heartbeats.
    platform.rewriteInstances();
    platform.rewriteInstances();
    await callAll(processes, SETTLE_MS);
    const leaving = findBusiest(arrivals);
    storeServer.store.faults = { isOut: true };
    await sleep(AWAY_MS);
    storeServer.returnFrom(copy);
    platform.announceLeaving(leaving);
    const acceptedAtMs = performance.now();
    const calling = callAll(processes, OBSERVED_MS);
    await sleep(UNREACHED_MS);
    storeServer.store.faults = {};
    await calling;
    const late = arrivals.filter(({ instanceId, atMs }) =>
      instanceId === leaving && atMs - acceptedAtMs > DRAIN_MS
    );
    expect(late.map(({ atMs }) => Math.round(atMs - acceptedAtMs)))
      .toEqual([]);
  });
});

/** Starts three processes and three plain instances, and waits until all serve. */
async function startPlainCluster() {
  const arrivals: FakeArrival[] = [];
  const platform = new FakePlatform({
    onArrival: (arrival) => arrivals.push(arrival),
  });
  cleanups.push(() => platform.stop());
  const storeAddress = await platform.start();
  platform.publishConfig(createFakeConfig({
    version: 1,
    tenants: [{ name: "o", keys: [KEY] }],
  }));
  for (const id of INSTANCES) await platform.startPlainInstance(id, "zone-a");
  for (const id of INSTANCES) platform.find(id).tellsLeaving = false;
  const processes = await Promise.all(
    PROCESSES.map((nodeId) => startProcess(nodeId, storeAddress)),
  );
  await waitUntil("all processes serve", {
    ...WAIT_OPTIONS,
    check: async () => {
      const statuses = await Promise.all(processes.map(callOnce));
      return statuses.every((status) => status === 200);
    },
  });
  return { platform, arrivals, processes };
}

/** The instance with the most requests so far. */
function findBusiest(arrivals: readonly FakeArrival[]): string {
  const countOf = (id: string) =>
    arrivals.filter(({ instanceId }) => instanceId === id).length;
  return INSTANCES.toSorted((left, right) =>
    countOf(right) - countOf(left)
  )[0]!;
}

/** Sends requests to all processes for a time. */
async function callAll(
  processes: readonly HostProcess[],
  durationMs: number,
): Promise<void> {
  const endMs = performance.now() + durationMs;
  await Promise.all(processes.map(async (process) => {
    while (performance.now() < endMs) {
      await callOnce(process);
      await sleep(CALL_PAUSE_MS);
    }
  }));
}

let callCount = 0;

/** Status of a request of the plain service. */
async function callOnce({ address }: HostProcess): Promise<number> {
  callCount += 1;
  const answer = await callPlatform({
    address,
    path: fakePaths.safe,
    callId: `call-${callCount}`,
    key: KEY,
    prompt: "x",
    deadlineMs: DEADLINE_MS,
    agent: false,
  });
  return answer.status;
}
