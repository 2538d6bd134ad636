import { Agent } from "node:http";
import { PlatformCallCodec } from "../platform/call_codec.ts";
import { BudgetBook } from "./budget_book.ts";
import type { ServingDependencies } from "./call_context.ts";
import { LoadBook } from "./load_book.ts";
import { PaceBook } from "./pace_book.ts";
import { RepeatBudget } from "./repeat_budget.ts";
import { BackoffTracker } from "./backoff_tracker.ts";
import { StallWatch } from "./stall_watch.ts";

/** What a test sets itself. */
export type TestDependencies =
  & Pick<ServingDependencies, "index" | "listTargets" | "record">
  & Partial<ServingDependencies>;

/** What serving needs of its process, for tests: nothing stands in its way. */
export function createTestDependencies(
  own: TestDependencies,
): ServingDependencies {
  const agent = new Agent({ keepAlive: true });
  return {
    codec: new PlatformCallCodec(),
    zone: "z",
    areKeysFresh: () => true,
    loads: new LoadBook(),
    backoffs: new BackoffTracker(),
    stalls: new StallWatch(),
    paces: new PaceBook(),
    budgets: new BudgetBook(),
    repeats: new RepeatBudget({
      share: 1,
      slackRequests: 100,
      windowMs: 10_000,
      countMachines: () => 1,
      sharedTotals: () => undefined,
      untoldMs: () => 1_000,
      random: () => 0.5,
    }),
    agentFor: () => agent,
    discardAgent: () => {},
    hasConnection: () => false,
    random: () => 0.5,
    noteDemand: () => {},
    noteLeaving: () => {},
    onFault: () => {},
    onBackoff: () => {},
    onMalformedHead: () => {},
    ...own,
  };
}
