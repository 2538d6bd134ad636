import {
  type ForwardingDependencies,
  HedgeDelays,
  RetryBudget,
  ServiceFailures,
} from "../forwarding/index.ts";
import { BackendPools } from "../http/index.ts";

/** State that the attempts of all requests share. */
export type AttemptState = Pick<
  ForwardingDependencies,
  "budget" | "failures" | "hedgeDelays" | "pools"
>;

/** Creates the state that the attempts of all requests share. */
export function createAttemptState(): AttemptState {
  return {
    budget: new RetryBudget(),
    failures: new ServiceFailures(),
    hedgeDelays: new HedgeDelays(),
    pools: new BackendPools(),
  };
}
