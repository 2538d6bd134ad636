import {
  callPlatform,
  callStream,
  createFakeConfig,
  STREAM_CONFIG,
} from "@celerytray/fakes";
import { expect } from "earl";
import { once } from "node:events";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { HostProcess } from "./host_process.ts";
import { startHostCluster, startProcess } from "./start_host_cluster.ts";
import { waitUntil } from "./wait_until.ts";

const REVOKE_MS = 5_000;
const CONFIG_APPLY_MS = 2_000;
const DEADLINE_MS = 1_000;
const ADDED_PATH = "/added/";
const ADDED_KEY = "key-added";
const AWAY_MS = 500;
/** Longer than it takes until all processes have read a change. */
const SETTLE_MS = 1_500;

// Guards against a withdrawn key that stays in use after the store came back
// from an older copy, as its withdrawal took the offset of a lost configuration.
describe("host processes, after the store came back from an older copy", () => {
  it("refuse a key that the operator withdraws right then", async () => {
    const { platform, processes } = await startHostCluster();
    const { storeServer } = platform;
    const publish = (version: number, keys: readonly string[]) =>
      platform.publishConfig({
        ...STREAM_CONFIG,
        version,
        tenants: [{ name: "o", api_keys: keys }],
      });
    const copy = storeServer.store.copy();
    publish(13, ["key-1", "key-2"]);
    publish(14, ["key-1", "key-2"]);
    await sleep(SETTLE_MS);
    storeServer.store.faults = { isOut: true };
    await sleep(AWAY_MS);
    storeServer.returnFrom(copy);
    storeServer.store.faults = {};
    publish(14, ["key-1", "key-2"]);
    publish(16, ["key-2"]);
    await sleep(REVOKE_MS);
    expect(await Promise.all(processes.map(statusOf))).toEqual([401, 401]);
  });

  // Guards against a route and a key that are added then and refused with 404
  // and 401 for good, as their version took the offset of a lost one.
  it("serve a route and a key that the operator adds right then", async () => {
    const { platform, processes } = await startHostCluster();
    const { storeServer } = platform;
    await platform.startPlainInstance("plain-0", "zone-d0");
    const copy = storeServer.store.copy();
    for (const version of [13, 14]) {
      platform.publishConfig({ ...STREAM_CONFIG, version });
    }
    await sleep(SETTLE_MS);
    storeServer.store.faults = { isOut: true };
    await sleep(AWAY_MS);
    storeServer.returnFrom(copy);
    storeServer.store.faults = {};
    platform.publishConfig({ ...STREAM_CONFIG, version: 14 });
    platform.publishConfig(createFakeConfig({
      version: 16,
      tenants: [{ name: "o", keys: ["key-1", ADDED_KEY] }],
      furtherPaths: [ADDED_PATH],
    }));
    await sleep(CONFIG_APPLY_MS);
    const statuses = await Promise.all(processes.map(callAdded));
    expect(statuses).toEqual([200, 200]);
  });

  // Guards against a process that starts then, and knows only the copy until the
  // operator has written anew.
  it("tell a starting process of a newer configuration than the copy's", async () => {
    const { platform, storeAddress, processes } = await startHostCluster();
    const { storeServer } = platform;
    const copy = storeServer.store.copy();
    platform.publishConfig({
      ...STREAM_CONFIG,
      version: 16,
      tenants: [{ name: "o", api_keys: ["key-2"] }],
    });
    await sleep(SETTLE_MS);
    storeServer.returnFrom(copy);
    await sleep(SETTLE_MS);
    const current = [...processes];
    for (const [index, nodeId] of ["front-1", "front-2"].entries()) {
      const exited = once(current[index]!.child, "exit");
      current[index]!.child.kill("SIGKILL");
      await exited;
      current[index] = await startProcess(nodeId, storeAddress);
      await waitUntil(`${nodeId} refuses the key`, {
        timeoutMs: REVOKE_MS,
        check: async () => await statusOf(current[index]!) === 401,
      });
    }
    await sleep(SETTLE_MS);
    expect(await Promise.all(current.map(statusOf))).toEqual([401, 401]);
  });
});

/** Status of a request with the withdrawn key. */
async function statusOf({ address }: HostProcess): Promise<number> {
  return (await callStream(address, "call-1")).status;
}

/** Status of a request of the added route with the added key. */
async function callAdded({ address }: HostProcess): Promise<number> {
  const answer = await callPlatform({
    address,
    path: `${ADDED_PATH}x`,
    callId: "call-2",
    key: ADDED_KEY,
    prompt: "x",
    deadlineMs: DEADLINE_MS,
    agent: false,
  });
  return answer.status;
}
