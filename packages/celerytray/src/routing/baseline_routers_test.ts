import { expect } from "earl";
import { describe, it } from "node:test";
import { LeastReportedRouter, RoundRobinRouter } from "./baseline_routers.ts";
import type { ReplicaLoad, Router, RoutingRequest } from "./router.ts";

const IDS = ["a", "b", "c"];

describe("RoundRobinRouter", () => {
  it("chooses the candidates in rotation and skips excluded ones", () => {
    const router = new RoundRobinRouter({ seed: 1 });
    const first = chooseMany(router, { count: 6 });
    expect(first.slice(0, 3).toSorted()).toEqual(IDS);
    expect(first.slice(3)).toEqual(first.slice(0, 3));
    const without = chooseMany(router, { count: 4, excluded: ["b"] });
    expect(new Set(without)).toEqual(new Set(["a", "c"]));
    expect(without[0] === without[1]).toEqual(false);
  });

  it("chooses none if all are excluded and continues afterwards", () => {
    const router = new RoundRobinRouter({ seed: 1 });
    expect(chooseMany(router, { count: 1, excluded: IDS })).toEqual([
      undefined,
    ]);
    expect(chooseMany(router, { count: 3 }).toSorted()).toEqual(IDS);
  });
});

describe("LeastReportedRouter", () => {
  it("chooses the lowest load, and equal loads in rotation", () => {
    const router = new LeastReportedRouter();
    expect(chooseMany(router, { count: 2, loads: [2, 1, 3] }))
      .toEqual(["b", "b"]);
    expect(chooseMany(router, { count: 3, loads: [1, 1, 1] }).toSorted())
      .toEqual(IDS);
    expect(chooseMany(router, { count: 1, loads: [2, 1, 3], excluded: ["b"] }))
      .toEqual(["a"]);
  });
});

function chooseMany(router: Router, options: {
  readonly count: number;
  readonly excluded?: readonly string[];
  readonly loads?: readonly number[];
}): (string | undefined)[] {
  const { count, excluded = [], loads = [0, 0, 0] } = options;
  const candidates = IDS.map((replicaId, index): ReplicaLoad => ({
    replicaId,
    availabilityZone: "z",
    reportedRequests: loads[index]!,
    sentSinceReport: 0,
  }));
  const request: RoutingRequest = {
    availabilityZone: "z",
    nowMs: 0,
    excludedIds: new Set(excluded),
  };
  return Array.from(
    { length: count },
    () => router.choose(candidates, request)?.replicaId,
  );
}
