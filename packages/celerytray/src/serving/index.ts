/** Serving of calls, whatever their protocol. */
export type {
  AnswerHead,
  AttemptHead,
  CallCodec,
  CallHead,
  InstanceLoad,
} from "./call.ts";
export {
  CallAdmission,
  type CallAdmissionOptions,
  type HeadRoom,
  type QueueKey,
} from "./admission/index.ts";
export { BudgetTracker } from "./budget_tracker.ts";
export type { CallRecord, ServingDependencies } from "./call_context.ts";
export { CallerExchange, type OwnAnswer } from "./caller_exchange.ts";
export { chooseTarget, type ServingTarget } from "./choose_target.ts";
export { EventSplitter, type StreamEvent } from "./event_splitter.ts";
export { LoadTracker } from "./load_tracker.ts";
export { PaceTracker } from "./pace_tracker.ts";
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
  MOVE_AFTER_MS,
  type StalledInstance,
  StallWatch,
} from "./stall_watch.ts";
