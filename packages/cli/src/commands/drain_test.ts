import { loadConfigFolder } from "celerytray";
import { expect } from "earl";
import { Effect } from "effect";
import { after, before, describe, it } from "node:test";
import {
  applyDemoConfig,
  DEMO_API_KEY,
  DEMO_FOLDER,
  waitUntilReplicasReady,
} from "../local/demo_config.ts";
import {
  type LocalCluster,
  startLocalCluster,
} from "../local/start_local_cluster.ts";
import { waitUntil } from "../local/wait_until.ts";

const DRAIN_TIMEOUT_MS = 3_000;

describe("drains in a cluster of separate processes", () => {
  let cluster: LocalCluster;

  before(async () => {
    cluster = await startLocalCluster({ tokenIntervalMs: 50 });
    await applyDemoConfig(cluster, { author: "test" });
    await waitUntilReplicasReady(cluster);
  });

  after(() => cluster?.stop());

  function admin(index: number) {
    return cluster.admin(cluster.entries[index]!);
  }

  function stream(index: number, tokenCount: number): Promise<Response> {
    const { address } = cluster.entries[index]!;
    return fetch(`http://${address}/v1/chat/completions`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${DEMO_API_KEY}`,
        "content-type": "application/json",
      },
      body: JSON.stringify({
        model: "drafter",
        stream: true,
        max_tokens: tokenCount,
        messages: [{ role: "user", content: "one two three" }],
      }),
    });
  }

  async function countRuns(index: number): Promise<number> {
    const { address } = cluster.plainBackends[index]!.instance;
    const answer = await fetch(`http://${address}/runs`);
    const { runs } = await answer.json() as { readonly runs: unknown[] };
    return runs.length;
  }

  async function book(index: number, key: string): Promise<number> {
    const { address } = cluster.entries[index]!;
    const answer = await fetch(`http://${address}/services/slotbook/bookings`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${DEMO_API_KEY}`,
        "content-type": "application/json",
        "idempotency-key": key,
      },
      body: JSON.stringify({ slot: "08:00" }),
    });
    await answer.text();
    return answer.status;
  }

  it("sends no new requests to a drained back end after 3 s, from any entry instance", async () => {
    const target = {
      kind: "instance" as const,
      name: cluster.plainBackends[0]!.instance.instanceId,
    };
    await admin(0).drain.mutate({ target, isDrained: true, author: "test" });
    await new Promise((resolve) => setTimeout(resolve, DRAIN_TIMEOUT_MS));
    const before = await countRuns(0);
    for (let call = 0; call < 30; call++) {
      expect(await book(call % 3, `drained-${call}`)).toEqual(201);
    }
    expect(await countRuns(0)).toEqual(before);
    expect(await countRuns(1)).toBeGreaterThanOrEqual(30);
    await admin(1).drain.mutate({ target, isDrained: false, author: "test" });
  });

  it("keeps a drain when a folder is applied", async () => {
    const target = { kind: "entry" as const, name: "entry-kth-b" };
    await admin(0).drain.mutate({ target, isDrained: true, author: "test" });
    const { config } = await Effect.runPromise(loadConfigFolder(DEMO_FOLDER));
    await admin(0).applyConfig.mutate({ config, author: "test" });
    await waitUntil("the drained entry instance refuses requests", {
      timeoutMs: DRAIN_TIMEOUT_MS,
      check: async () => (await stream(1, 1)).status === 503,
    });
    const refused = await stream(1, 1);
    expect(refused.headers.get("celerytray-outcome")).toEqual("not-run");
    expect((await stream(0, 1)).status).toEqual(200);
    await admin(0).drain.mutate({ target, isDrained: false, author: "test" });
  });

  it("completes requests in flight at SIGTERM and then exits", async () => {
    const entry = cluster.entries[2]!;
    await waitUntil("a stream starts", {
      timeoutMs: 5_000,
      check: async () => (await stream(2, 1)).status === 200,
    });
    const answer = await stream(2, 40);
    const ended = entry.process.stop("SIGTERM");
    const text = await answer.text();
    expect([...text.matchAll(/"content":"/g)].length).toEqual(40);
    expect(text.endsWith("data: [DONE]\n\n")).toEqual(true);
    expect(await ended).toEqual(0);
  });

  it("exits immediately at a second SIGTERM", async () => {
    const entry = cluster.entries[1]!;
    await waitUntil("a stream starts", {
      timeoutMs: 5_000,
      check: async () => (await stream(1, 1)).status === 200,
    });
    const answer = await stream(1, 2_000);
    const reading = answer.text().catch(() => "cut");
    const ended = entry.process.stop("SIGTERM");
    await waitUntil("the entry instance is no longer ready", {
      timeoutMs: 5_000,
      check: async () =>
        (await fetch(`http://${entry.address}/readyz`)).status === 503,
    });
    expect(entry.process.child.exitCode).toEqual(null);
    entry.process.child.kill("SIGTERM");
    expect(await ended).toEqual(0);
    await reading;
  });
});
