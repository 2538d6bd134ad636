import { expect } from "earl";
import { it } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { SharedRetryBudget, type SharedTotals } from "./repeat_budget.ts";

const WINDOW_MS = 10_000;
const SEED = 31;
const STEPS = 2 ** 30;

function createRandom(): () => number {
  const generator = xoroshiro128plus(SEED);
  return () => uniformInt(generator, 0, STEPS - 1) / STEPS;
}

it("holds the repeats of all machines to the share and the slack", () => {
  const machines = 7;
  const share = 0.2;
  const slackRequests = 130;
  const budgets = Array.from(
    { length: machines },
    () =>
      new SharedRetryBudget({
        share,
        slackRequests,
        windowMs: WINDOW_MS,
        countMachines: () => machines,
        sharedTotals: () => undefined,
        totalsLagMs: () => 1_000,
        random: () => 0.5,
      }),
  );
  let requests = 0;
  let repeats = 0;
  for (let nowMs = 0; nowMs < WINDOW_MS; nowMs += 10) {
    for (const budget of budgets) {
      budget.noteRequest("drafts", nowMs);
      requests += 1;
      while (budget.trySpend("drafts", nowMs)) repeats += 1;
    }
  }
  expect(repeats <= share * requests + slackRequests).toEqual(true);
  expect(repeats > 0).toEqual(true);
});

it("lets one machine use what the others leave, within the budget of all", () => {
  const machines = 80;
  const intervalMs = 800;
  const share = 0.2;
  const slackRequests = 350;
  let shared: SharedTotals = {};
  let told: SharedTotals = shared;
  const budgets = Array.from({ length: machines }, () =>
    new SharedRetryBudget({
      share,
      slackRequests,
      windowMs: WINDOW_MS,
      countMachines: () => machines,
      sharedTotals: () => told,
      totalsLagMs: () => 2 * intervalMs,
      random: createRandom(),
    }));
  const tell = (nowMs: number) => {
    // Reports are summed, and the sum is told an interval later.
    told = shared;
    let requests = 0;
    let repeats = 0;
    for (const budget of budgets) {
      const totals = budget.listTotals(nowMs).drafts;
      requests += totals?.requests ?? 0;
      repeats += totals?.repeats ?? 0;
    }
    shared = { drafts: { requests, repeats } };
  };
  const spent = { busy: 0, all: 0 };
  let requests = 0;
  for (let nowMs = 0; nowMs < WINDOW_MS; nowMs += 100) {
    if (nowMs % intervalMs === 0) tell(nowMs);
    for (const budget of budgets) {
      for (let count = 0; count < 3; count++) {
        budget.noteRequest("drafts", nowMs);
        requests += 1;
      }
    }
    while (budgets[0]!.trySpend("drafts", nowMs)) spent.busy += 1;
  }
  const alone = 0.6 * (share * requests + slackRequests) / machines;
  expect(spent.busy > 2 * alone).toEqual(true);
  for (let nowMs = WINDOW_MS; nowMs < 3 * WINDOW_MS; nowMs += 100) {
    if (nowMs % intervalMs === 0) tell(nowMs);
    for (const budget of budgets) {
      for (let count = 0; count < 3; count++) {
        budget.noteRequest("drafts", nowMs);
      }
      while (budget.trySpend("drafts", nowMs)) spent.all += 1;
    }
    const total = budgets.reduce(
      (sum, budget) => sum + budget.listTotals(nowMs).drafts!.repeats,
      0,
    );
    expect(total <= share * requests + slackRequests).toEqual(true);
  }
  expect(spent.all > 0).toEqual(true);
});

it("shares a budget of less than one repeat for each machine out by chance", () => {
  const machines = 390;
  const slackRequests = 100;
  const random = createRandom();
  const budgets = Array.from({ length: machines }, () =>
    new SharedRetryBudget({
      share: 0,
      slackRequests,
      windowMs: WINDOW_MS,
      countMachines: () => machines,
      sharedTotals: () => ({}),
      totalsLagMs: () => 2_500,
      random,
    }));
  const spent = budgets.filter((budget) => budget.trySpend("drafts", 0));
  expect(spent.length > 0 && spent.length <= slackRequests).toEqual(true);
});

it("forgets what is older than the window", () => {
  const budget = new SharedRetryBudget({
    share: 0,
    slackRequests: 10,
    windowMs: WINDOW_MS,
    countMachines: () => 1,
    sharedTotals: () => undefined,
    totalsLagMs: () => 1_000,
    random: () => 0.5,
  });
  while (budget.trySpend("drafts", 0));
  expect(budget.trySpend("drafts", WINDOW_MS / 2)).toEqual(false);
  expect(budget.trySpend("drafts", WINDOW_MS)).toEqual(true);
});
