import { expect } from "earl";
import { Effect } from "effect";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { describe, it } from "node:test";
import { createMetricsSender } from "./metrics_sender.ts";

describe("metrics", () => {
  it("arrive at the agent with prefix, type and tags", async () => {
    const agent = createSocket("udp4");
    agent.bind(0, "127.0.0.1");
    await once(agent, "listening");
    const received = once(agent, "message");
    const send = Effect.gen(function* () {
      const sender = yield* createMetricsSender({
        statsdAddress: `127.0.0.1:${agent.address().port}`,
        instanceId: "entry-a",
        availabilityZone: "kth-a",
      });
      sender.gauge("config.version", 7);
    });
    await Effect.runPromise(Effect.scoped(send));
    const [message] = await received;
    agent.close();
    expect(String(message)).toInclude("celerytray.config.version:7|g");
    expect(String(message)).toInclude("instance:entry-a");
  });
});
