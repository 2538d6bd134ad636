import { expect } from "earl";
import { describe, it } from "node:test";
import type { InstanceState, MembershipState } from "./instance_state.ts";
import { InstanceWeights } from "./instance_weights.ts";

const LONG_MS = 60_000;
const LOAD_MS = 16_000;

describe("InstanceWeights, of a spare that loads", () => {
  it("tells the model until the list says that it is loaded", () => {
    const weights = createWeights();
    weights.noteList([createInstance("joining")], LOAD_MS);
    expect(weights.preparedModel("a")).toEqual("large");
    expect(weights.isOverdue("a", LOAD_MS)).toEqual(false);
    weights.noteList([createInstance("ready", "large")], LOAD_MS);
    expect(weights.preparedModel("a")).toEqual(undefined);
    expect(weights.hotModel("a")).toEqual("large");
  });

  it("doesn't wait for one that goes on joining", () => {
    const weights = createWeights();
    weights.noteList([createInstance("joining")], LONG_MS);
    expect(weights.isOverdue("a", LONG_MS)).toEqual(true);
  });

  it("forgets a joining that came to nothing, so that it is tried anew", () => {
    const weights = createWeights();
    weights.noteList([createInstance()], LOAD_MS);
    expect(weights.preparedModel("a")).toEqual("large");
    weights.noteList([createInstance()], LONG_MS);
    expect(weights.preparedModel("a")).toEqual(undefined);
    expect(weights.isOverdue("a", LONG_MS)).toEqual(false);
  });
});

it("knows at first sight which weights instances have in memory", () => {
  const weights = new InstanceWeights({ startsFilled: true });
  weights.noteList([createInstance("ready", "large")], 0);
  expect(weights.hotModel("a")).toEqual("large");
  const early = new InstanceWeights({ startsFilled: true });
  early.noteList([createInstance("joining", "large")], 0);
  expect(early.hotModel("a")).toEqual(undefined);
});

function createWeights(): InstanceWeights {
  const weights = new InstanceWeights({ startsFilled: false });
  weights.noteList([createInstance()], 0);
  weights.noteJoin("a", { preparedModel: "large", nowMs: 0 });
  return weights;
}

function createInstance(
  state?: MembershipState,
  loadedModel?: string,
): InstanceState {
  return {
    id: "a",
    service: "drafter",
    address: "a:1",
    zone: "z",
    slots: 8,
    domain: "d",
    isDraining: false,
    stagedModels: [],
    ...(loadedModel === undefined ? {} : { loadedModel }),
    ...(state === undefined
      ? {}
      : { membership: { replica: "standby-a", epoch: 1, rank: 0, state } }),
  };
}
