import { Effect } from "effect";
import { expect } from "earl";
import { describe, it } from "node:test";
import { InstanceClient } from "../platform/instance_client.ts";
import type { ServingTarget } from "../serving/index.ts";
import { startRawBackend } from "../serving/test_entry.ts";
import { createAliveCheck } from "./create_alive_check.ts";

/** A reset is seen before or after the connection. */
const RESETS = 30;
const NO_LISTENER = "127.0.0.1:1";
const control = new InstanceClient();

// Guards against replicas that are full and reset new connections being taken for
// ones that crashed, so that what all prompts share comes into quarantine.
describe("the check of an instance that lost a request", () => {
  it("finds one alive that resets its connections", async () => {
    const target = await startRawBackend((socket) => socket.resetAndDestroy());
    for (let index = 0; index < RESETS; index++) {
      expect(await isAlive(target)).toEqual(true);
    }
  });

  it("finds one dead whose port is closed", async () => {
    const target = await startRawBackend(() => {});
    expect(await isAlive({ ...target, address: NO_LISTENER })).toEqual(false);
  });

  it("does not find one alive that is silent", async () => {
    const target = await startRawBackend(() => {});
    expect(await isAlive(target)).toEqual(false);
  });
});

function isAlive(target: ServingTarget): Promise<boolean> {
  return Effect.runPromise(createAliveCheck(control).isAlive(target));
}
