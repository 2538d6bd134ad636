import { expect } from "earl";
import { describe, it } from "node:test";
import type { FaultAction } from "./fault_action.ts";
import {
  constantFaultKinds,
  createPlan,
  describePlan,
  faultKinds,
  laterFaultKinds,
} from "./plan.ts";
import { planTargets } from "./soak_cluster.ts";

const SEEDS = Array.from({ length: 200 }, (_, index) => index);
describe("soak plans", () => {
  it("are reproducible from their seed", () => {
    for (const seed of SEEDS) {
      expect(describePlan(createPlan(seed, planTargets)))
        .toEqual(describePlan(createPlan(seed, planTargets)));
    }
  });

  it("cover every kind of fault, and withdraw no key twice", () => {
    const kinds = new Set<FaultAction["kind"]>();
    for (const seed of SEEDS) {
      const actions = createPlan(seed, planTargets).series.flat()
        .map(({ action }) => action);
      for (const { kind } of actions) kinds.add(kind);
      const keys = actions.filter((action) => action.kind === "withdraw")
        .map(({ key }) => key);
      expect(new Set(keys).size).toEqual(keys.length);
    }
    expect(kinds).toEqual(
      new Set([...faultKinds, ...laterFaultKinds, ...constantFaultKinds]),
    );
  });
});
