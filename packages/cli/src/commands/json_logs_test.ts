import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import {
  LOCAL_OPERATOR_TOKEN,
  type LocalCluster,
  startLocalCluster,
} from "../local/start_local_cluster.ts";
import { waitUntil } from "../local/wait_until.ts";

const CALLER_KEY = "secret-key-of-a-caller";

describe("logs of a process", () => {
  let cluster: LocalCluster;

  before(async () => {
    cluster = await startLocalCluster({
      availabilityZones: ["kth-a"],
      fabricDomainCount: 0,
      entryEnvironment: { DEBUG: "celerytray:*" },
    });
  });

  after(() => cluster?.stop());

  it("are JSON lines with the request identifier and without secrets", async () => {
    const [entry] = cluster.entries;
    const refused = await fetch(`http://${entry!.address}/v1/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${CALLER_KEY}` },
      body: "{}",
    });
    const requestId = refused.headers.get("x-request-id");
    await waitUntil("the request is logged", {
      timeoutMs: 5_000,
      check: () =>
        Promise.resolve(entry!.process.stderr().includes(requestId!)),
    });
    const lines = entry!.process.stderr().trim().split("\n").map((line) =>
      JSON.parse(line) as { readonly requestId?: string }
    );
    expect(lines.some((line) => line.requestId === requestId)).toEqual(true);
    for (const secret of [CALLER_KEY, LOCAL_OPERATOR_TOKEN]) {
      expect(entry!.process.stderr().includes(secret)).toEqual(false);
    }
  });
});
