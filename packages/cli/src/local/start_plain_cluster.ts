/** Three processes in front of three instances of the plain service. */
import {
  callPlatform,
  createFakeConfig,
  type FakeArrival,
  fakePaths,
  FakePlatform,
} from "@celerytray/fakes";
import { after } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { HostProcess } from "./host_process.ts";
import { startProcess, WAIT_OPTIONS } from "./start_host_cluster.ts";
import { waitUntil } from "./wait_until.ts";

const PROCESSES = ["front-1", "front-2", "front-3"];
const INSTANCES = ["plain-0", "plain-1", "plain-2"];
export const PLAIN_KEY = "key-1";
const CALL_PAUSE_MS = 40;
const DEADLINE_MS = 1_000;

const cleanups: (() => void)[] = [];

after(() => {
  for (const close of cleanups.reverse()) close();
});

/**
 * Starts three processes and three plain instances, whose answers don't say
 * that they leave, and waits until all processes serve.
 */
export async function startPlainCluster() {
  const arrivals: FakeArrival[] = [];
  const platform = new FakePlatform({
    onArrival: (arrival) => arrivals.push(arrival),
  });
  cleanups.push(() => platform.stop());
  const storeAddress = await platform.start();
  platform.publishConfig(createFakeConfig({
    version: 1,
    tenants: [{ name: "o", keys: [PLAIN_KEY] }],
  }));
  for (const id of INSTANCES) await platform.startPlainInstance(id, "zone-a");
  for (const id of INSTANCES) platform.find(id).tellsLeaving = false;
  const processes = await Promise.all(
    PROCESSES.map((nodeId) => startProcess(nodeId, storeAddress)),
  );
  await waitUntil("all processes serve", {
    ...WAIT_OPTIONS,
    check: async () => {
      const statuses = await Promise.all(
        processes.map((process) => callPlain(process)),
      );
      return statuses.every((status) => status === 200);
    },
  });
  return { platform, arrivals, processes };
}

/** The instance with the most requests so far. */
export function findBusiest(arrivals: readonly FakeArrival[]): string {
  const countOf = (id: string) =>
    arrivals.filter(({ instanceId }) => instanceId === id).length;
  return INSTANCES.toSorted((left, right) =>
    countOf(right) - countOf(left)
  )[0]!;
}

/** Sends requests to all processes for a time. */
export async function callAll(
  processes: readonly HostProcess[],
  durationMs: number,
): Promise<void> {
  const endMs = performance.now() + durationMs;
  await Promise.all(processes.map(async (process) => {
    while (performance.now() < endMs) {
      await callPlain(process);
      await sleep(CALL_PAUSE_MS);
    }
  }));
}

let callCount = 0;

/** Status of a request of the plain service, or of another path of it. */
export async function callPlain(
  { address }: HostProcess,
  path: string = fakePaths.safe,
): Promise<number> {
  callCount += 1;
  const answer = await callPlatform({
    address,
    path,
    callId: `call-${callCount}`,
    key: PLAIN_KEY,
    prompt: "x",
    deadlineMs: DEADLINE_MS,
    agent: false,
  });
  return answer.status;
}
