/** Structured event log and metrics of a process. */
export {
  type EventFields,
  type EventName,
  Journal,
  type JournalOptions,
  type RecordEvent,
} from "./journal.ts";
export { LineRateLimiter, type LineSeverity } from "./line_rate_limiter.ts";
export { MetricsPage } from "./metrics_page.ts";
