import { expect } from "earl";
import { describe, it } from "node:test";
import { bounds } from "./bounds.ts";
import type { FaultAction } from "./fault_action.ts";
import {
  constantFaultKinds,
  createPlan,
  describePlan,
  faultKinds,
  laterFaultKinds,
  silenceKinds,
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
      new Set([
        ...faultKinds,
        ...laterFaultKinds,
        ...constantFaultKinds,
        ...silenceKinds,
        "full-heads",
      ]),
    );
  });

  it("end with a cut alone that is long enough to be judged", () => {
    for (const seed of SEEDS) {
      const [cut, ...others] = createPlan(seed, planTargets).series.at(-1)!;
      expect([cut!.action.kind, others]).toEqual(["cut-links", []]);
      expect(cut!.durationMs > bounds.stableWindowMs).toEqual(true);
    }
  });

  it("have a series of full heads and silences during planned work", () => {
    const replicaCounts = new Set<number>();
    for (const seed of SEEDS) {
      const faults = createPlan(seed, planTargets).series[3]!;
      const count = (kind: FaultAction["kind"]) =>
        faults.filter(({ action }) => action.kind === kind).length;
      expect([count("full-heads"), count("slow-streams")]).toEqual([1, 1]);
      expect(count("config") >= 2 && count("silent-instance") >= 2)
        .toEqual(true);
      replicaCounts.add(count("one-replica"));
    }
    expect(replicaCounts).toEqual(new Set([0, 1]));
  });

  // A silence must not add up to the deadline of a call.
  it("have a series of silences alone, in bursts far from each other", () => {
    for (const seed of SEEDS) {
      const faults = createPlan(seed, planTargets).series[2]!;
      const silences = faults.filter(({ action }) =>
        action.kind === "silent-instance"
      );
      const states = faults.length - silences.length;
      expect(states === 1 || states === 2).toEqual(true);
      let burstAtMs = Number.NEGATIVE_INFINITY;
      for (const { atMs, durationMs } of silences) {
        if (atMs - burstAtMs > 4_000) burstAtMs = atMs;
        expect(atMs + durationMs - burstAtMs <= 2_100).toEqual(true);
      }
    }
  });
});
