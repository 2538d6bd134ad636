import { expect } from "earl";
import { describe, it } from "node:test";
import { emptyConfigState } from "../config/index.ts";
import {
  emptyEstimates,
  isStoreStalled,
  updateEstimates,
} from "./fleet_estimates.ts";
import { emptyFleetState } from "./fold_fleet_record.ts";
import type { MemberObservation } from "./replica_health.ts";

describe("isStoreStalled", () => {
  it("ignores new loads that start while none makes progress", () => {
    expect(runLoads(() => 0)).toEqual(true);
    expect(runLoads((round) => round / 100)).toEqual(false);
  });
});

/** Runs one load throughout and starts another load in each round. */
function runLoads(findFraction: (round: number) => number): boolean {
  let estimates = emptyEstimates();
  const observations = new Map<string, MemberObservation>();
  for (let round = 0; round < 60; round++) {
    const nowMs = round * 1_000;
    const load = (instanceId: string, loadedFraction: number) =>
      observations.set(instanceId, {
        observedAtMs: nowMs,
        status: {
          instanceId,
          bootId: "b",
          state: "loading",
          runningRequests: 0,
          waitingRequests: 0,
          loadedFraction,
        },
      });
    load("a", findFraction(round));
    load(`b-${round}`, 0);
    estimates = updateEstimates(estimates, {
      config: emptyConfigState().config,
      fleet: emptyFleetState(),
      instances: [],
      observations,
      nowMs,
    });
  }
  return isStoreStalled(estimates, 59_000);
}
