import { callStream, STREAM_CONFIG } from "@celerytray/fakes";
import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { startHostCluster } from "./start_host_cluster.ts";

const REVOKE_MS = 5_000;
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
    const statuses = await Promise.all(
      processes.map(async ({ address }) =>
        (await callStream(address, "call-1")).status
      ),
    );
    expect(statuses).toEqual([401, 401]);
  });
});
