import { expect } from "earl";
import { describe, it } from "node:test";
import type { InstanceState, MembershipState } from "./instance_state.ts";
import { InstanceWeights } from "./instance_weights.ts";

const LONG_MS = 60_000;
const LOAD_MS = 16_000;

describe("InstanceWeights, for a spare that loads a model", () => {
  it("returns the model as preparing until it is listed as loaded", () => {
    const weights = createWeights();
    weights.noteList([createInstance("joining")], LOAD_MS);
    expect(weights.preparingModel("a")).toEqual("large");
    expect(weights.isPreparationOverdue("a", LOAD_MS)).toEqual(false);
    weights.noteList([createInstance("ready", "large")], LOAD_MS);
    expect(weights.preparingModel("a")).toEqual(undefined);
    expect(weights.heldModel("a")).toEqual("large");
  });

  it("reports a spare as overdue that stays in joining", () => {
    const weights = createWeights();
    weights.noteList([createInstance("joining")], LONG_MS);
    expect(weights.isPreparationOverdue("a", LONG_MS)).toEqual(true);
  });

  it("drops a preparation that never finished, so that it is retried", () => {
    const weights = createWeights();
    weights.noteList([createInstance()], LOAD_MS);
    expect(weights.preparingModel("a")).toEqual("large");
    weights.noteList([createInstance()], LONG_MS);
    expect(weights.preparingModel("a")).toEqual(undefined);
    expect(weights.isPreparationOverdue("a", LONG_MS)).toEqual(false);
  });
});

it("takes the models in memory from the first list", () => {
  const weights = new InstanceWeights({ startsComplete: true });
  weights.noteList([createInstance("ready", "large")], 0);
  expect(weights.heldModel("a")).toEqual("large");
  const joining = new InstanceWeights({ startsComplete: true });
  joining.noteList([createInstance("joining", "large")], 0);
  expect(joining.heldModel("a")).toEqual(undefined);
});

function createWeights(): InstanceWeights {
  const weights = new InstanceWeights({ startsComplete: false });
  weights.noteList([createInstance()], 0);
  weights.noteJoin("a", { preparingModel: "large", nowMs: 0 });
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
