import type { ModelService } from "@celerytray/schema";
import { expect } from "earl";
import { describe, it } from "node:test";
import { emptyConfigState } from "../config/index.ts";
import { emptyFleetState, type Replica } from "./fold_fleet_record.ts";
import { findReplicaHealth, type MemberObservation } from "./replica_health.ts";
import { selectOutdated } from "./select_outdated.ts";

const service: ModelService = {
  kind: "model",
  deployment: "d",
  replicaCount: 4,
  instancesPerReplica: 2,
  model: "m",
  modelVersion: "2",
};

describe("selectOutdated", () => {
  it("selects one replica at a time in a small service", () => {
    expect(select(["11", "11", "22", "22"])).toEqual([0]);
    expect(select(["1?", "11", "22", "22"])).toEqual([]);
  });

  it("selects a replica with two versions immediately", () => {
    expect(select(["1?", "12", "22", "22"])).toEqual([1]);
    const { replicas, observations } = createReplicas(["12", "22"]);
    const states = replicas.map((replica) =>
      findReplicaHealth(replica, { observations, nowMs: 0, maxAgeMs: 1 }).state
    );
    expect(states).toEqual(["mismatched", "ready"]);
  });
});

function select(versions: readonly string[]): number[] {
  const { replicas, observations } = createReplicas(versions);
  const observation = {
    config: emptyConfigState().config,
    fleet: emptyFleetState(),
    instances: [],
    observations,
    nowMs: 0,
  };
  return selectOutdated(replicas, { service, observation })
    .map(({ slot }) => slot);
}

/** One replica per text, with a version per member; ? while it loads. */
function createReplicas(versions: readonly string[]) {
  const observations = new Map<string, MemberObservation>();
  const replicas = versions.map((text, slot): Replica => {
    const replicaId = `s/${slot}`;
    const members = [...text].map((_, rank) => `${slot}-${rank}`);
    for (const [rank, modelVersion] of [...text].entries()) {
      const instanceId = members[rank]!;
      observations.set(instanceId, {
        observedAtMs: 0,
        status: {
          instanceId,
          bootId: "b",
          state: modelVersion === "?" ? "loading" : "ready",
          runningRequests: 0,
          waitingRequests: 0,
          model: "m",
          modelVersion,
          assignment: { replicaId, fencingNumber: slot, rank, memberCount: 2 },
        },
      });
    }
    return {
      replicaId,
      service: "s",
      slot,
      fencingNumber: slot,
      members,
      formedAtMs: 0,
    };
  });
  return { replicas, observations };
}
