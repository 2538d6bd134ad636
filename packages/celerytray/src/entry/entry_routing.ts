import {
  AffinityRouter,
  type CallRouter,
  type RoutingOutcome,
} from "../routing/index.ts";

/** Options of an entry instance's routing. */
export interface EntryRoutingOptions {
  readonly nowMs: () => number;
  /** Entry instances that share the replicas. */
  readonly countEntries: () => number;
}

/** The router of an entry instance. */
export interface EntryRouting {
  readonly router: CallRouter;
  readonly noteOutcome: (outcome: Omit<RoutingOutcome, "nowMs">) => void;
}

/** Creates the router and gives it the time. */
export function createEntryRouting(options: EntryRoutingOptions): EntryRouting {
  const { nowMs, countEntries } = options;
  const router = new AffinityRouter({
    seed: nowMs() | 0,
    entryCount: () => Math.max(1, countEntries()),
  });
  return {
    router: {
      choose: (candidates, call) =>
        router.choose(candidates, { ...call, nowMs: nowMs() }),
    },
    noteOutcome: (outcome) =>
      router.noteOutcome({ ...outcome, nowMs: nowMs() }),
  };
}
