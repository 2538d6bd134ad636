import {
  AffinityRouter,
  type CallRouter,
  type RoutingOutcome,
} from "../routing/index.ts";

const COUNT_MAX_AGE_MS = 1_000;

/** Options of an entry instance's routing. */
export interface EntryRoutingOptions {
  readonly nowMs: () => number;
  /** Counts the entry instances that share the replicas. */
  readonly countEntries: () => number;
}

/** The router of an entry instance and its feedback. */
export interface EntryRouting {
  readonly router: CallRouter;
  readonly noteOutcome: (outcome: Omit<RoutingOutcome, "nowMs">) => void;
}

/** Creates a router that reads the time at each call. */
export function createEntryRouting(options: EntryRoutingOptions): EntryRouting {
  const { nowMs } = options;
  const router = new AffinityRouter({
    seed: nowMs() | 0,
    entryCount: createCachedCount(options),
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

/** Caches the count, as the router reads it many times in each choice. */
function createCachedCount(options: EntryRoutingOptions): () => number {
  let count = 1;
  let expiresAtMs = -Infinity;
  return () => {
    const nowMs = options.nowMs();
    if (nowMs >= expiresAtMs) {
      count = Math.max(1, options.countEntries());
      expiresAtMs = nowMs + COUNT_MAX_AGE_MS;
    }
    return count;
  };
}
