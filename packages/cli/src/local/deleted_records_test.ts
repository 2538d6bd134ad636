import { createFakeConfig } from "@celerytray/fakes";
import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  callAll,
  callPlain,
  findBusiest,
  PLAIN_KEY,
  startPlainCluster,
} from "./start_plain_cluster.ts";

const ADDED_PATH = "/added/";
/** Time after the store's ack from which a change holds. */
const BOUND_MS = 2_000;
const DELETION_INTERVAL_MS = 50;
const SETTLE_MS = 1_000;
const OBSERVED_MS = 3_000;

// Guards against a process that misses a change, as the store deleted its record
// before the process read it and answers 410.
describe("host processes, while the store deletes all old records", () => {
  it("serve an added route and send nothing to an instance that drains", async () => {
    const { platform, arrivals, processes } = await startPlainCluster();
    const deletions = setInterval(
      () => platform.compactTopics(),
      DELETION_INTERVAL_MS,
    );
    await callAll(processes, SETTLE_MS);
    const leaving = findBusiest(arrivals);
    // Several at once, of which only the newest record is kept.
    for (const version of [2, 3, 4]) {
      platform.publishConfig(createFakeConfig({
        version,
        tenants: [{ name: "o", keys: [PLAIN_KEY] }],
        furtherPaths: [ADDED_PATH],
      }));
      platform.rewriteInstances();
    }
    platform.announceLeaving(leaving);
    platform.compactTopics();
    const acceptedAtMs = performance.now();
    const calling = callAll(processes, OBSERVED_MS);
    await sleep(BOUND_MS);
    const statuses = await Promise.all(
      processes.map((process) => callPlain(process, `${ADDED_PATH}x`)),
    );
    await calling;
    clearInterval(deletions);
    expect(statuses).toEqual([200, 200, 200]);
    const late = arrivals.filter(({ instanceId, atMs }) =>
      instanceId === leaving && atMs - acceptedAtMs > BOUND_MS
    );
    expect(late).toEqual([]);
    const logs = processes.map(({ log }) => log()).join("");
    expect(logs).toInclude("store.reread");
  });
});
