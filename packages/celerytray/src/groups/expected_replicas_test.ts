import { expect } from "earl";
import { describe, it } from "node:test";
import { type ExpectedInput, ExpectedReplicas } from "./expected_replicas.ts";
import type { InstanceState, MembershipState } from "./instance_state.ts";
import { SMALL } from "./model_fixtures.ts";
import type { ReplicaRun } from "./replica_run.ts";

const MEMBERS = ["a", "b", "c"];

describe("ExpectedReplicas", () => {
  it("tells nothing of a model that has a replica which serves", () => {
    const input = createInput({ state: "open" });
    expect(new ExpectedReplicas().list(input, 0)).toEqual({});
  });

  it("tells the time of a load where none is planned", () => {
    const input = { ...createInput({ state: "ready" }), runs: [] };
    expect(new ExpectedReplicas().list(input, 0))
      .toEqual({ small: SMALL.loadMs });
  });

  it("counts down while members join, by where their weights are", () => {
    const expected = new ExpectedReplicas();
    const warm = createInput({ state: "joining", staged: [SMALL.name] });
    expect(expected.list(warm, 0)).toEqual({ small: SMALL.warmMs + 200 });
    expect(expected.list(warm, 500)).toEqual({ small: SMALL.warmMs - 300 });
    expect(expected.list(warm, 60_000)).toEqual({ small: 200 });
    const cold = createInput({ state: "joining" });
    expect(new ExpectedReplicas().list(cold, 0))
      .toEqual({ small: SMALL.loadMs + 200 });
  });
});

function createInput(
  { state, staged = [] }: {
    readonly state: MembershipState;
    readonly staged?: readonly string[];
  },
): ExpectedInput {
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
    hotModel: () => undefined,
  };
}
