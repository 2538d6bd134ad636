import { expect } from "earl";
import { it } from "node:test";
import { BudgetBook } from "./budget_book.ts";

it("tells how much of a route's usual budget had passed", () => {
  const budgets = new BudgetBook();
  expect(budgets.notePassed("a", 6_000)).toEqual(0);
  expect(budgets.notePassed("b", 1_500)).toEqual(0);
  expect(budgets.notePassed("a", 4_700)).toEqual(1_300);
  expect(budgets.notePassed("a", 8_000)).toEqual(0);
  expect(budgets.notePassed("a", 6_000)).toEqual(2_000);
});
