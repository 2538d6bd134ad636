import {
  callStream,
  COMPLETE_STREAM,
  type FakePlatform,
  type PlatformAnswer,
} from "@celerytray/fakes";
import { expect } from "earl";
import { once } from "node:events";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { HostProcess } from "./host_process.ts";
import { findLeads, startProcess, startWorld, WAIT } from "./host_world.ts";
import { waitUntil } from "./wait_until.ts";

/** Requests at once at each process; one zone has 16 slots for three of them. */
const CALLS = 4;
/** Time from which on nothing may reach an evacuated zone. */
const EVACUATE_MS = 5_000;

describe("processes on the platform", () => {
  it("send nothing to an evacuated zone, through restarts and a lost lead", async () => {
    const world = await startWorld(["d0", "d1"]);
    const { platform, processes } = world;
    for (const head of platform.listServing()) head.eventPauseMs = 100;
    const underWay = callAll(processes);
    await waitUntil("streams to run in the zone", {
      ...WAIT,
      check: () => Promise.resolve(countRuns(platform, "d0") > 0),
    });
    platform.evacuate("zone-d0");
    expect(listBroken(await underWay)).toEqual([]);
    await sleep(EVACUATE_MS);
    for (const head of platform.listServing()) head.eventPauseMs = 0;
    const runs = countRuns(platform, "d0");

    const newcomer = await startProcess("front-3", world.storeAddress);
    await waitUntil("the newcomer to serve", {
      ...WAIT,
      check: () =>
        callStream(newcomer.address, "call-0").then(isWhole, () => false),
    });
    expect(listBroken(await callAll([...processes, newcomer]))).toEqual([]);
    const [lead] = await findLeads(processes);
    const exited = once(lead!.child, "exit");
    lead!.child.kill("SIGKILL");
    await exited;
    const others = [...processes, newcomer].filter((each) => each !== lead);
    expect(listBroken(await callAll(others))).toEqual([]);
    expect(countRuns(platform, "d0")).toEqual(runs);
    // Its replicas stay formed.
    expect(platform.listServing().length).toEqual(4);

    platform.evacuate("zone-d1");
    await waitUntil("requests to be refused", {
      ...WAIT,
      check: async () =>
        (await callAll(others)).every(({ status, body }) =>
          status === 503 && body.includes("evacuated; it was not run")
        ),
    });
    platform.restore("zone-d0");
    platform.restore("zone-d1");
    await waitUntil("the zones to be restored", {
      ...WAIT,
      check: async () => (await callAll(others)).every(isWhole),
    });
    expect(countRuns(platform, "d0") > runs).toEqual(true);
  });
});

function callAll(processes: readonly HostProcess[]) {
  return Promise.all(
    processes.flatMap(({ address }, process) =>
      Array.from(
        { length: CALLS },
        (_, index) => callStream(address, `call-${process}-${index}`),
      )
    ),
  );
}

function isWhole(answer: PlatformAnswer): boolean {
  return answer.status === 200 && answer.body === COMPLETE_STREAM;
}

/** Answers that are not the whole stream. */
function listBroken(answers: readonly PlatformAnswer[]): readonly string[] {
  return answers.filter((answer) => !isWhole(answer))
    .map(({ status, body }) => `${status} ${body}`);
}

/** Requests that the instances of a domain ran. */
function countRuns(platform: FakePlatform, domain: string): number {
  return [...platform.instances.values()]
    .filter(({ instance }) => instance.domain === domain)
    .reduce((sum, { executedCallIds: ranIds }) => sum + ranIds.length, 0);
}
