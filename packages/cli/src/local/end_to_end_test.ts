import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import {
  applyDemoConfig,
  DEMO_API_KEY,
  waitUntilReplicasReady,
} from "./demo_config.ts";
import { type LocalCluster, startLocalCluster } from "./start_local_cluster.ts";

describe("requests to a cluster of separate processes", () => {
  let cluster: LocalCluster;

  before(async () => {
    cluster = await startLocalCluster();
    await applyDemoConfig(cluster, { author: "test" });
    await waitUntilReplicasReady(cluster);
  });

  after(() => cluster?.stop());

  it("streams a complete answer from any entry instance", async () => {
    for (const entry of cluster.entries) {
      const response = await post(
        `http://${entry.address}/v1/chat/completions`,
        {
          body: {
            model: "drafter",
            stream: true,
            max_tokens: 5,
            messages: [{ role: "user", content: "one two three four five" }],
          },
        },
      );
      const text = await response.text();
      const words = [...text.matchAll(/"content":"([^"]*)"/g)].map((match) =>
        match[1]
      );
      expect(response.status).toEqual(200);
      expect(words).toEqual([
        "one-0 ",
        "two-1 ",
        "three-2 ",
        "four-3 ",
        "five-4 ",
      ]);
      expect(text.endsWith("data: [DONE]\n\n")).toEqual(true);
    }
  });

  it("runs a booking once for one idempotency key", async () => {
    const entry = cluster.entries[0]!;
    const book = () =>
      post(`http://${entry.address}/services/slotbook/bookings`, {
        body: { slot: "08:00" },
        headers: { "idempotency-key": "thin-path-1" },
      });
    const first = await book();
    expect(first.status).toEqual(201);
    await book();
    const runs = await Promise.all(
      cluster.plainBackends.map(async ({ instance }) => {
        const response = await fetch(`http://${instance.address}/runs`);
        const body = await response.json() as { readonly runs: unknown[] };
        return body.runs.length;
      }),
    );
    expect(runs.reduce((sum, count) => sum + count, 0)).toEqual(1);
  });

  it("answers invalid requests immediately with an error object", async () => {
    const url = `http://${cluster.entries[0]!.address}/v1/chat/completions`;
    const unknownModel = await post(url, {
      body: { model: "nothing", messages: [{ role: "user" }] },
    });
    expect(unknownModel.status).toEqual(404);
    expect(await errorCode(unknownModel)).toEqual("model_not_found");

    const wrongKey = await post(url, { body: {}, key: "wrong" });
    expect(wrongKey.status).toEqual(401);
    expect(await errorCode(wrongKey)).toEqual("invalid_api_key");

    const badJson = await fetch(url, {
      method: "POST",
      headers: { authorization: `Bearer ${DEMO_API_KEY}` },
      body: "{",
    });
    expect(badJson.status).toEqual(400);
    expect(await errorCode(badJson)).toEqual("invalid_request");

    const tooLarge = await post(url, { body: { pad: "x".repeat(5_000_000) } });
    expect(tooLarge.status).toEqual(413);
    expect(tooLarge.headers.get("celerytray-outcome")).toEqual("not-run");
  });
});

interface PostOptions {
  readonly body: unknown;
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

function post(url: string, options: PostOptions): Promise<Response> {
  return fetch(url, {
    method: "POST",
    headers: {
      authorization: `Bearer ${options.key ?? DEMO_API_KEY}`,
      "content-type": "application/json",
      ...options.headers,
    },
    body: JSON.stringify(options.body),
  });
}

async function errorCode(response: Response): Promise<string> {
  const body = await response.json() as {
    readonly error: { readonly code: string };
  };
  return body.error.code;
}
