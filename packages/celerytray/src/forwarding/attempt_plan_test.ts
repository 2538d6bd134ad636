import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { AttemptPlan } from "./attempt_plan.ts";
import { RecentFailures } from "./recent_failures.ts";
import { RetryBudget } from "./retry_budget.ts";

const SEED = 5;
const NOW_MS = 1_000;

describe("RetryBudget", () => {
  it("never spends more than its share of the requests", () => {
    const steps = fc.array(
      fc.option(fc.double({ min: 0, max: 2, noNaN: true })),
    );
    fc.assert(
      fc.property(steps, (steps) => {
        const budget = new RetryBudget({
          sharePerRequest: 0.1,
          maxSavedRequests: 2,
        });
        let allowed = 2;
        let spent = 0;
        for (const cost of steps) {
          if (cost === null) {
            budget.noteRequest();
            allowed += 0.1;
          } else if (budget.trySpend(cost)) spent += cost;
        }
        expect(spent <= allowed + 1e-9).toEqual(true);
      }),
      { seed: SEED },
    );
  });
});

describe("AttemptPlan", () => {
  const createPlan = (budget = new RetryBudget()) =>
    new AttemptPlan({ budget, deadlineAtMs: () => NOW_MS });

  it("allows no attempt from the deadline on", () => {
    const plan = createPlan();
    expect(plan.tryReserve(0, NOW_MS - 1).isRight()).toEqual(true);
    expect(plan.tryReserve(0, NOW_MS).extract()).toEqual("deadline");
  });

  it("allows no further attempt without budget", () => {
    const plan = createPlan(new RetryBudget({ maxSavedRequests: 0 }));
    plan.triedIds.add("plain-0");
    expect(plan.tryReserve(1, 0).extract()).toEqual("budget");
  });

  it("reports ran over unknown and unknown over not-run", () => {
    const plan = createPlan();
    plan.noteOutcome("not-run");
    expect(plan.outcome).toEqual("not-run");
    plan.noteOutcome("unknown");
    plan.noteOutcome("not-run");
    expect(plan.outcome).toEqual("unknown");
    plan.noteOutcome("ran");
    plan.noteOutcome("unknown");
    expect(plan.outcome).toEqual("ran");
  });
});

describe("RecentFailures", () => {
  it("avoids a back end for a while after a failure", () => {
    const failures = new RecentFailures();
    failures.noteFailure("a", 0);
    expect(failures.listAvoidedIds(3, 1)).toEqual(["a"]);
    expect(failures.listAvoidedIds(3, 1_000)).toEqual([]);
  });

  it("avoids none when more than half of the back ends failed", () => {
    const failures = new RecentFailures();
    failures.noteFailure("a", 0);
    failures.noteFailure("b", 0);
    expect(failures.listAvoidedIds(3, 1)).toEqual([]);
  });
});
