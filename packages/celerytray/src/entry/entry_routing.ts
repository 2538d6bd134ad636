import {
  AffinityRouter,
  type CallRouter,
  type RoutingOutcome,
} from "../routing/index.ts";

/** Options of an entry instance's routing. */
export interface EntryRoutingOptions {
  readonly nowMs: () => number;
}

/** The router of an entry instance. */
export interface EntryRouting {
  readonly router: CallRouter;
  readonly noteOutcome: (outcome: Omit<RoutingOutcome, "nowMs">) => void;
}

/** Creates the router and gives it the time. */
export function createEntryRouting(options: EntryRoutingOptions): EntryRouting {
  const { nowMs } = options;
  const router = new AffinityRouter({ seed: nowMs() | 0 });
  return {
    router: {
      choose: (candidates, call) =>
        router.choose(candidates, { ...call, nowMs: nowMs() }),
    },
    noteOutcome: (outcome) =>
      router.noteOutcome({ ...outcome, nowMs: nowMs() }),
  };
}
