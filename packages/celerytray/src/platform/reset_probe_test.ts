import { Effect } from "effect";
import { expect } from "earl";
import { it } from "node:test";
import { startRawBackend } from "../serving/test_entry.ts";
import { InstanceClient } from "./instance_client.ts";

/** A reset is seen before or after the connection. */
const RESETS = 30;

// Guards against a sound replica that counts as lost after the shorter time of
// machines that accept no connection, as it is full and resets new ones.
it("a probe whose connection is reset tells that there was one", async () => {
  const { instanceId: id, address } = await startRawBackend((socket) =>
    socket.resetAndDestroy()
  );
  for (let index = 0; index < RESETS; index++) {
    const { reason } = await Effect.runPromise(
      Effect.flip(new InstanceClient().probe({ id, address })),
    );
    expect(reason).toEqual("unanswered");
  }
});
