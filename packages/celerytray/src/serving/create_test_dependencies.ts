import { Agent } from "node:http";
import { PlatformCallCodec } from "../platform/call_codec.ts";
import { CallAdmission, type CallAdmissionOptions } from "./admission/index.ts";
import { BudgetTracker } from "./budget_tracker.ts";
import type { ServingDependencies } from "./call_context.ts";
import { LoadTracker } from "./load_tracker.ts";
import { PaceTracker } from "./pace_tracker.ts";
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
    loads: new LoadTracker(),
    backoffs: new BackoffTracker(),
    stalls: new StallWatch(),
    paces: new PaceTracker(),
    budgets: new BudgetTracker(),
    admission: createTestAdmission(),
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

/** Admission that knows nothing of other processes. */
export function createTestAdmission(
  own: Partial<CallAdmissionOptions> = {},
): CallAdmission {
  return new CallAdmission({
    tenantTotals: () => undefined,
    totalsAgeMs: () => undefined,
    expectedMs: () => undefined,
    headRoom: () => "some-full",
    onRefused: () => {},
    ...own,
  });
}
