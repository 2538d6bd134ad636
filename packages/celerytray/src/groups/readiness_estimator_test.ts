import { expect } from "earl";
import { describe, it } from "node:test";
import {
  ReadinessEstimator,
  type ReadinessInput,
} from "./readiness_estimator.ts";
import type { InstanceState, MembershipState } from "./instance_state.ts";
import { SMALL } from "./model_fixtures.ts";
import type { ReplicaRun } from "./replica_progress.ts";

const MEMBERS = ["a", "b", "c"];

describe("ExpectedReplicas", () => {
  it("omits a model with a serving replica", () => {
    const input = createInput({ state: "open" });
    expect(new ReadinessEstimator().estimateMs(input, 0)).toEqual({});
  });

  it("returns the load time for a model without a planned replica", () => {
    const input = { ...createInput({ state: "ready" }), runs: [] };
    expect(new ReadinessEstimator().estimateMs(input, 0))
      .toEqual({ small: SMALL.loadMs });
  });

  it("counts down while members join, by where their weights are", () => {
    const estimator = new ReadinessEstimator();
    const warm = createInput({ state: "joining", staged: [SMALL.name] });
    expect(estimator.estimateMs(warm, 0)).toEqual({
      small: SMALL.warmMs + 200,
    });
    expect(estimator.estimateMs(warm, 500)).toEqual({
      small: SMALL.warmMs - 300,
    });
    expect(estimator.estimateMs(warm, 60_000)).toEqual({ small: 200 });
    const cold = createInput({ state: "joining" });
    expect(new ReadinessEstimator().estimateMs(cold, 0))
      .toEqual({ small: SMALL.loadMs + 200 });
  });
});

function createInput(
  { state, staged = [] }: {
    readonly state: MembershipState;
    readonly staged?: readonly string[];
  },
): ReadinessInput {
  const run: ReplicaRun = {
    record: {
      name: "r1",
      epoch: 1,
      service: "drafter",
      model: SMALL.name,
      members: MEMBERS,
      incarnations: {},
    },
    joinedIds: new Set(MEMBERS),
    readyIds: new Set(),
    leftIds: new Set(),
    mayBeOpen: false,
  };
  return {
    models: [SMALL],
    runs: [run],
    findInstance: (id): InstanceState => ({
      id,
      service: "drafter",
      address: `${id}:1`,
      zone: "z",
      slots: 8,
      domain: "d",
      isDraining: false,
      stagedModels: staged,
      membership: {
        replica: "r1",
        epoch: 1,
        rank: MEMBERS.indexOf(id),
        state,
      },
    }),
    heldModel: () => undefined,
  };
}
