import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  callAll,
  findBusiest,
  startPlainCluster,
} from "./start_plain_cluster.ts";

/** Time after the store's ack after which no request may reach the instance. */
const DRAIN_MS = 2_000;
const AWAY_MS = 900;
/** Time for which the store serves instances, but no process yet. */
const UNREACHED_MS = 700;
/** Longer than it takes until all processes have read a change. */
const SETTLE_MS = 1_500;
const OBSERVED_MS = 6_000;

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
