import type { EngineStatus, Instance } from "@celerytray/schema";
import { HashMap } from "effect";
import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import { emptyFleetState, type MemberObservation } from "../fleet/index.ts";
import { ReadyBackends } from "./ready_backends.ts";

const MAX_AGE_MS = 2_500;
const MEMBERS = ["i0", "i1"];

function createStatus(rank: number): EngineStatus {
  return {
    instanceId: MEMBERS[rank]!,
    bootId: "1",
    state: "ready",
    assignment: {
      replicaId: "drafter/0",
      fencingNumber: 7,
      rank,
      memberCount: 2,
    },
    runningRequests: 4,
    waitingRequests: 1,
  };
}

describe("ReadyBackends", () => {
  let nowMs = 0;
  let observations: Map<string, MemberObservation>;
  let backends: ReadyBackends;

  function observe(status: EngineStatus): void {
    const observation = { status, observedAtMs: nowMs };
    observations.set(status.instanceId, observation);
    backends.noteStatus(observation);
  }

  beforeEach(() => {
    nowMs = 0;
    observations = new Map();
    const replica = {
      replicaId: "drafter/0",
      service: "drafter",
      slot: 0,
      fencingNumber: 7,
      members: MEMBERS,
      formedAtMs: 0,
    };
    const fleet = {
      ...emptyFleetState(),
      replicas: HashMap.make(["drafter/0", replica]),
    };
    const instances = new Map(MEMBERS.map((instanceId): [string, Instance] => [
      instanceId,
      {
        instanceId,
        role: "engine",
        address: "127.0.0.1:1",
        availabilityZone: "a",
        state: "live",
      },
    ]));
    backends = new ReadyBackends({
      fleet: () => fleet,
      instances: () => instances,
      observations,
      nowMs: () => nowMs,
      maxAgeMs: MAX_AGE_MS,
    });
    observe(createStatus(0));
    observe(createStatus(1));
  });

  it("keeps the list while nothing changes and reads current loads", () => {
    const before = backends.listReplicas("drafter");
    expect(before.map(({ replicaId }) => replicaId)).toEqual(["drafter/0"]);
    nowMs = 1_000;
    backends.noteSent("drafter/0");
    observe({ ...createStatus(1), runningRequests: 9 });
    expect(backends.listReplicas("drafter") === before).toEqual(true);
    expect(before[0]!.sentSinceReport).toEqual(1);
    expect(before[0]!.reportedRequests).toEqual(5);
    nowMs = 2_000;
    observe(createStatus(0));
    expect(before[0]!.sentSinceReport).toEqual(0);
  });

  it("drops a replica when one member is leaving or its status is too old", () => {
    observe({ ...createStatus(1), leaving: true });
    expect(backends.listReplicas("drafter").length).toEqual(0);
    observe(createStatus(1));
    expect(backends.listReplicas("drafter").length).toEqual(1);
    nowMs = MAX_AGE_MS;
    observe(createStatus(0));
    expect(backends.listReplicas("drafter").length).toEqual(1);
    nowMs = MAX_AGE_MS + 1;
    expect(backends.listReplicas("drafter").length).toEqual(0);
    observe(createStatus(1));
    expect(backends.listReplicas("drafter").length).toEqual(1);
  });

  it("drops a replica at once when a member has other weights loaded", () => {
    expect(backends.listReplicas("drafter").length).toEqual(1);
    nowMs = 10;
    observe({ ...createStatus(1), loadedRank: 0 });
    expect(backends.listReplicas("drafter")).toEqual([]);
    observe({ ...createStatus(1), modelVersion: "2" });
    expect(backends.listReplicas("drafter")).toEqual([]);
  });
});
