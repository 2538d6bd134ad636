import { expect } from "earl";
import { request } from "node:http";
import { after, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { FakePlatform } from "./fake_platform.ts";

const ID = "model-0";
const SILENCE_MS = 300;
const cleanups: (() => unknown)[] = [];

after(() => {
  for (const close of cleanups.reverse()) close();
});

describe("a head that was silent", () => {
  // Guards against a head that closes for ever, as it counts a request whose
  // connection ended during its silence as a stream in progress.
  it("has no stream whose connection ended meanwhile", async () => {
    let address = "";
    const platform = new FakePlatform({
      resolveListedAddress: (_id, listed) => Promise.resolve(address = listed),
    });
    cleanups.push(() => platform.stop());
    await platform.start();
    await platform.startInstance(ID, "domain-0");
    const server = platform.instances.get(ID)!;
    const common = { replica: "r1", epoch: 1, fence: 1 };
    const order = (kind: "open" | "close") =>
      server.instance.applyOrder(
        { kind, isImmediate: false, ...common },
        performance.now(),
      );
    server.instance.applyOrder(
      { kind: "join", model: "m", members: [ID], ...common },
      performance.now(),
    );
    await sleep(300);
    expect(order("open")).toEqual("begun");
    server.fallSilent(SILENCE_MS);
    const headers = { "attempt-id": "left", "expect-instance": ID };
    const call = request(`http://${address}/x`, { method: "POST", headers })
      .on("error", () => {});
    call.end("prompt");
    await sleep(SILENCE_MS / 2);
    call.destroy();
    await sleep(SILENCE_MS);
    expect(server.listStreamingCallIds()).toEqual([]);
    expect(order("close")).toEqual("begun");
    await sleep(100);
    expect(server.instance.membership?.state).toEqual("ready");
  });
});
