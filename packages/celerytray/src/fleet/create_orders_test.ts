import { expect } from "earl";
import { describe, it } from "node:test";
import { type AddressedOrder, dropSilentOrders } from "./create_orders.ts";
import type { MemberObservation } from "./replica_health.ts";

describe("dropSilentOrders", () => {
  it("keeps only orders to engines that were observed recently", () => {
    const nowMs = 60_000;
    const observations = new Map([
      ["heard", createObservation("heard", nowMs - 1_000)],
      ["silent", createObservation("silent", nowMs - 10_000)],
    ]);
    const orders = ["heard", "silent", "never-read"].map(createRelease);
    const kept = dropSilentOrders(orders, { observations, nowMs });
    expect(kept.map(({ instanceId }) => instanceId)).toEqual(["heard"]);
  });
});

function createRelease(instanceId: string): AddressedOrder {
  return {
    instanceId,
    address: instanceId,
    order: { kind: "release", fencingNumber: 1 },
  };
}

function createObservation(
  instanceId: string,
  observedAtMs: number,
): MemberObservation {
  return {
    observedAtMs,
    status: {
      instanceId,
      bootId: "b",
      state: "ready",
      runningRequests: 0,
      waitingRequests: 0,
    },
  };
}
