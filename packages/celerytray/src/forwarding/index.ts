/** The data plane: forwards callers' requests to back ends. */
export { CallerError, type CallOutcomeState } from "./caller_error.ts";
export type { ForwardingDependencies } from "./call_context.ts";
export { createCallerHandler } from "./caller_handler.ts";
export { InFlightCalls } from "./in_flight_calls.ts";
export {
  runStreamAttempt,
  type StreamAttemptOptions,
} from "./stream_attempt.ts";
export type { AttemptOutcome } from "./stream_outcome.ts";
export { AttemptPlan, type GiveUpReason } from "./attempt_plan.ts";
export { HedgeDelay, HedgeDelays } from "./hedge_delay.ts";
export { RecentFailures, ServiceFailures } from "./recent_failures.ts";
export { RetryBudget } from "./retry_budget.ts";
export { CompletionSink } from "./completion_sink.ts";
export type {
  ForwardingClaims,
  PlainInstance,
  ReadyReplica,
} from "./forwarding_types.ts";
