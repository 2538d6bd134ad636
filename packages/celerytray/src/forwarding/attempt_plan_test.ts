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

  it("allows no attempt at or after the deadline", () => {
    const plan = createPlan();
    expect(plan.allow(0, NOW_MS - 1).isRight()).toEqual(true);
    expect(plan.allow(0, NOW_MS).extract()).toEqual("deadline");
  });

  it("allows no further attempt without budget", () => {
    const plan = createPlan(new RetryBudget({ maxSavedRequests: 0 }));
    plan.tried.add("plain-0");
    expect(plan.allow(1, 0).extract()).toEqual("budget");
  });

  it("tells the most that may have run", () => {
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
  it("puts a back end that failed last for a while", () => {
    const failures = new RecentFailures();
    failures.noteFailure("a", 0);
    expect(failures.findAvoided(3, 1)).toEqual(["a"]);
    expect(failures.findAvoided(3, 1_000)).toEqual([]);
  });

  it("keeps all when too few are left", () => {
    const failures = new RecentFailures();
    failures.noteFailure("a", 0);
    failures.noteFailure("b", 0);
    expect(failures.findAvoided(3, 1)).toEqual([]);
  });
});
