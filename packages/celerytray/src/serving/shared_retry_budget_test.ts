import { expect } from "earl";
import { it } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { SharedRetryBudget, type SharedTotals } from "./shared_retry_budget.ts";

const WINDOW_MS = 10_000;
const SEED = 31;
const STEPS = 2 ** 30;

function createRandom(): () => number {
  const generator = xoroshiro128plus(SEED);
  return () => uniformInt(generator, 0, STEPS - 1) / STEPS;
}

it("limits the retries of all machines to the share and the slack", () => {
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
        startedAtMs: Number.NEGATIVE_INFINITY,
        random: () => 0.5,
      }),
  );
  let requests = 0;
  let retries = 0;
  for (let nowMs = 0; nowMs < WINDOW_MS; nowMs += 10) {
    for (const budget of budgets) {
      budget.noteRequest("drafts", nowMs);
      requests += 1;
      while (budget.trySpend("drafts", nowMs)) retries += 1;
    }
  }
  expect(retries <= share * requests + slackRequests).toEqual(true);
  expect(retries > 0).toEqual(true);
});

it("lets one machine use what the others leave of the shared budget", () => {
  const machines = 80;
  const intervalMs = 800;
  const share = 0.2;
  const slackRequests = 350;
  let shared: SharedTotals = {};
  let published: SharedTotals = shared;
  const budgets = Array.from({ length: machines }, () =>
    new SharedRetryBudget({
      share,
      slackRequests,
      windowMs: WINDOW_MS,
      countMachines: () => machines,
      sharedTotals: () => published,
      totalsLagMs: () => 2 * intervalMs,
      startedAtMs: Number.NEGATIVE_INFINITY,
      random: createRandom(),
    }));
  const publish = (nowMs: number) => {
    // The sum of the reports is published one interval later.
    published = shared;
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
    if (nowMs % intervalMs === 0) publish(nowMs);
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
    if (nowMs % intervalMs === 0) publish(nowMs);
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

it("grants a budget of less than one retry per machine at random", () => {
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
      startedAtMs: Number.NEGATIVE_INFINITY,
      random,
    }));
  const spent = budgets.filter((budget) => budget.trySpend("drafts", 0));
  expect(spent.length > 0 && spent.length <= slackRequests).toEqual(true);
});

it("does not count retries older than the window", () => {
  const budget = new SharedRetryBudget({
    share: 0,
    slackRequests: 10,
    windowMs: WINDOW_MS,
    countMachines: () => 1,
    sharedTotals: () => undefined,
    totalsLagMs: () => 1_000,
    startedAtMs: Number.NEGATIVE_INFINITY,
    random: () => 0.5,
  });
  while (budget.trySpend("drafts", 0));
  expect(budget.trySpend("drafts", WINDOW_MS / 2)).toEqual(false);
  expect(budget.trySpend("drafts", WINDOW_MS)).toEqual(true);
});

// Guards against many draws of each machine for its share of one retry, which
// together exceed the budget.
it("draws for less than one retry once until the totals show it", () => {
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
      startedAtMs: Number.NEGATIVE_INFINITY,
      random,
    }));
  let spent = 0;
  for (let nowMs = 0; nowMs < 2_000; nowMs += 100) {
    for (const budget of budgets) {
      if (budget.trySpend("drafts", nowMs)) spent += 1;
    }
  }
  expect(spent > 0 && spent <= slackRequests).toEqual(true);
});

// Guards against a process that takes the whole slack for itself, as it has
// just started and knows of no other.
it("uses no slack before it knows the number of machines", () => {
  const budget = new SharedRetryBudget({
    share: 0.2,
    slackRequests: 100,
    windowMs: WINDOW_MS,
    countMachines: () => undefined,
    sharedTotals: () => undefined,
    totalsLagMs: () => 1_000,
    startedAtMs: 0,
    random: () => 0,
  });
  expect(budget.trySpend("drafts", 0)).toEqual(false);
  for (let count = 0; count < 50; count++) budget.noteRequest("drafts", 0);
  expect(budget.trySpend("drafts", 0)).toEqual(true);
});

// Guards against shares of a budget by the few machines that report just now.
it("divides by the greatest number of machines within the window", () => {
  let machines = 80;
  const budget = new SharedRetryBudget({
    share: 0,
    slackRequests: 100,
    windowMs: WINDOW_MS,
    countMachines: () => machines,
    sharedTotals: () => ({}),
    totalsLagMs: () => 1_000,
    startedAtMs: Number.NEGATIVE_INFINITY,
    random: () => 1,
  });
  budget.noteRequest("drafts", 0);
  machines = 2;
  expect(budget.trySpend("drafts", 1_000)).toEqual(false);
  expect(budget.trySpend("drafts", WINDOW_MS)).toEqual(true);
});
