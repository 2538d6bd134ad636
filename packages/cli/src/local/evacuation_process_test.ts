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
import {
  findLeaders,
  startHostCluster,
  startProcess,
  WAIT_OPTIONS,
} from "./start_host_cluster.ts";
import { waitUntil } from "./wait_until.ts";

/**
 * Concurrent requests at each process. One zone has 16 slots, enough for the
 * requests of three processes.
 */
const CALLS_PER_PROCESS = 4;
/** Time after which no request may reach an evacuated zone. */
const EVACUATION_TIMEOUT_MS = 5_000;

describe("host processes during an evacuation", () => {
  it("send nothing to an evacuated zone after a restart or the loss of the leader", async () => {
    const cluster = await startHostCluster(["d0", "d1"]);
    const { platform, processes } = cluster;
    for (const head of platform.listServing()) head.eventPauseMs = 100;
    const inFlight = callAll(processes);
    await waitUntil("streams run in the zone", {
      ...WAIT_OPTIONS,
      check: () => Promise.resolve(countRuns(platform, "d0") > 0),
    });
    platform.evacuate("zone-d0");
    expect(listIncomplete(await inFlight)).toEqual([]);
    await sleep(EVACUATION_TIMEOUT_MS);
    for (const head of platform.listServing()) head.eventPauseMs = 0;
    const runs = countRuns(platform, "d0");

    const addedProcess = await startProcess("front-3", cluster.storeAddress);
    await waitUntil("the added process serves", {
      ...WAIT_OPTIONS,
      check: () =>
        callStream(addedProcess.address, "call-0").then(
          isComplete,
          () => false,
        ),
    });
    expect(listIncomplete(await callAll([...processes, addedProcess]))).toEqual(
      [],
    );
    const [leader] = await findLeaders(processes);
    const exited = once(leader!.child, "exit");
    leader!.child.kill("SIGKILL");
    await exited;
    const others = [...processes, addedProcess].filter((each) =>
      each !== leader
    );
    expect(listIncomplete(await callAll(others))).toEqual([]);
    expect(countRuns(platform, "d0")).toEqual(runs);
    // The replicas of the evacuated zone stay formed.
    expect(platform.listServing().length).toEqual(4);

    platform.evacuate("zone-d1");
    await waitUntil("requests are refused", {
      ...WAIT_OPTIONS,
      check: async () =>
        (await callAll(others)).every(({ status, body }) =>
          status === 503 && body.includes("evacuated; it was not run")
        ),
    });
    platform.restore("zone-d0");
    platform.restore("zone-d1");
    await waitUntil("the zones are restored", {
      ...WAIT_OPTIONS,
      check: async () => (await callAll(others)).every(isComplete),
    });
    expect(countRuns(platform, "d0") > runs).toEqual(true);
  });
});

function callAll(processes: readonly HostProcess[]) {
  return Promise.all(
    processes.flatMap(({ address }, processIndex) =>
      Array.from(
        { length: CALLS_PER_PROCESS },
        (_, index) => callStream(address, `call-${processIndex}-${index}`),
      )
    ),
  );
}

function isComplete(answer: PlatformAnswer): boolean {
  return answer.status === 200 && answer.body === COMPLETE_STREAM;
}

/** Answers that are not the complete stream. */
function listIncomplete(answers: readonly PlatformAnswer[]): readonly string[] {
  return answers.filter((answer) => !isComplete(answer))
    .map(({ status, body }) => `${status} ${body}`);
}

/** Number of requests that the instances of a domain ran. */
function countRuns(platform: FakePlatform, domain: string): number {
  return [...platform.instances.values()]
    .filter(({ instance }) => instance.domain === domain)
    .reduce((sum, { executedCallIds: ranIds }) => sum + ranIds.length, 0);
}
