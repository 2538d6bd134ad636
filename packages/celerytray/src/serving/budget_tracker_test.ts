import { expect } from "earl";
import { it } from "node:test";
import { CallerTimeoutTracker } from "./budget_tracker.ts";

it("tells how much of a route's usual budget had passed", () => {
  const budgets = new CallerTimeoutTracker();
  expect(budgets.notePassed("a", 6_000)).toEqual(0);
  expect(budgets.notePassed("b", 1_500)).toEqual(0);
  expect(budgets.notePassed("a", 4_700)).toEqual(1_300);
  expect(budgets.notePassed("a", 8_000)).toEqual(0);
  expect(budgets.notePassed("a", 6_000)).toEqual(2_000);
});
