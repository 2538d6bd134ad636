import {
  type ForwardingDependencies,
  HedgeDelays,
  RecentFailures,
  RetryBudget,
} from "../forwarding/index.ts";
import { BackendPools } from "../http/index.ts";

/** What the attempts of all requests share. */
export type AttemptState = Pick<
  ForwardingDependencies,
  "budget" | "failures" | "hedgeDelays" | "pools"
>;

/** Creates the state that the attempts of all requests share. */
export function createAttemptState(): AttemptState {
  return {
    budget: new RetryBudget(),
    failures: new RecentFailures(),
    hedgeDelays: new HedgeDelays(),
    pools: new BackendPools(),
  };
}
