/** Serving of calls, whatever their protocol. */
export type {
  AnswerHead,
  AttemptHead,
  CallCodec,
  CallHead,
  InstanceLoad,
} from "./call.ts";
export {
  AdmissionQueue,
  CallAdmission,
  type CallAdmissionOptions,
  type HeadRoom,
  type QueueKey,
} from "./admission/index.ts";
export { BudgetTracker } from "./budget_tracker.ts";
export type {
  BarReason,
  CallRecord,
  DemandSource,
  ServingDependencies,
  WithheldReason,
} from "./call_context.ts";
export { CallerExchange, type OwnAnswer } from "./caller_exchange.ts";
export { chooseTarget, type ServingTarget } from "./choose_target.ts";
export { ColdAllowance, type ColdBounds } from "./cold_allowance.ts";
export { ColdTracker } from "./cold_tracker.ts";
export { ProcessCount } from "./process_count.ts";
export { EventSplitter, type StreamEvent } from "./event_splitter.ts";
export { HeldBytes } from "./held_bytes.ts";
export { findHomeProblems, type HomeProblems } from "./homes.ts";
export { LoadTracker } from "./load_tracker.ts";
export { PaceTracker } from "./pace_tracker.ts";
export { MAX_LAG_MS, type ProcessLag } from "./process_lag.ts";
export { QueueWaits } from "./queue_wait.ts";
export {
  RepeatBudget,
  type RepeatBudgetOptions,
  type SharedTotals,
  type WindowTotals,
} from "./repeat_budget.ts";
export { BackoffTracker } from "./backoff_tracker.ts";
export { runAttempt } from "./run_attempt.ts";
export { serveCall } from "./serve_call.ts";
export type {
  CallerLimits,
  ColdStart,
  EngineSpec,
  Repeatability,
  RouteTarget,
  ServedModel,
  ServedService,
  ServingConfig,
  ServingRoute,
  ServingTenant,
} from "./serving_config.ts";
export { selectService, ServingIndex } from "./serving_index.ts";
export {
  type AbandonReason,
  type StalledInstance,
  StallWatch,
} from "./stall_watch.ts";
