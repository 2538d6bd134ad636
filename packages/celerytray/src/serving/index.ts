/** Serving of calls, independent of their wire format. */
export type {
  AttemptHeaders,
  CallCodec,
  CallHeaders,
  InstanceLoad,
  RelayHeaders,
  ResponseHeaders,
} from "./call.ts";
export {
  AdmissionQueue,
  CallAdmission,
  type CallAdmissionOptions,
  type HeadOccupancy,
  type QueueKey,
} from "./admission/index.ts";
export { CallerTimeoutTracker } from "./caller_timeout_tracker.ts";
export type {
  CallRecord,
  DemandSource,
  ExclusionReason,
  LateEvent,
  ServingDependencies,
  WithheldReason,
} from "./call_context.ts";
export { chooseTarget, type ServingTarget } from "./choose_target.ts";
export { type ColdBounds, ColdRateLimiter } from "./cold_rate_limiter.ts";
export { ColdTracker } from "./cold_tracker.ts";
export { ProcessCount } from "./process_count.ts";
export {
  CallerExchange,
  EventSplitter,
  HeldBytes,
  type HeldResponse,
  type LocalResponse,
  runAttempt,
  type StreamEvent,
} from "./exchange/index.ts";
export type { AttemptEnd, CloseCause, EndCause } from "./end_cause.ts";
export { GracefulStop } from "./graceful_stop.ts";
export { findHomeProblems, type HomeProblems } from "./homes.ts";
export { splitIncarnationKey } from "./incarnation_key.ts";
export { LoadTracker } from "./load_tracker.ts";
export { PaceTracker } from "./pace_tracker.ts";
export { MAX_LAG_MS, type ProcessLag } from "./process_lag.ts";
export { PromptBacklog } from "./prompt_backlog.ts";
export { QueueWaitEstimator } from "./queue_wait_estimator.ts";
export { SilenceStats } from "./silence_stats.ts";
export {
  SharedRetryBudget,
  type SharedRetryBudgetOptions,
  type SharedTotals,
  type WindowTotals,
} from "./shared_retry_budget.ts";
export { BackoffTracker } from "./backoff_tracker.ts";
export {
  ageReport,
  AliveCheck,
  CrashQuarantine,
  EMPTY_REPORT,
  isQuarantinedPart,
  type LossProof,
  mergeReports,
  parseQuarantineReport,
  type PartAssessment,
  type ProveLoss,
  QuarantineBoard,
  type QuarantinedPart,
  type QuarantineEvent,
  type QuarantineReport,
  SuspectLoad,
  type SuspectPart,
} from "./quarantine/index.ts";
export {
  ageLimitReport,
  EMPTY_LIMIT_REPORT,
  InstanceLimits,
  LimitBoard,
  type LimitChange,
  type LimitReport,
  mergeLimitReports,
  parseLimitReport,
  type SharedLimit,
} from "./rate_limit/index.ts";
export {
  BackendLinks,
  type Gateway,
  GatewayChoice,
  type LinkChange,
  type RelayedCall,
} from "./relay/index.ts";
export { serveCall } from "./serve_call.ts";
export type {
  CallerLimits,
  ColdStart,
  EngineSpec,
  RetryPolicy,
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
  StallDetector,
  type SuspectedInstance,
} from "./stall_detector.ts";
