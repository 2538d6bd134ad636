/** Structured log and metrics of a process. */
export {
  type EventFields,
  type EventName,
  Journal,
  type JournalOptions,
  type RecordEvent,
} from "./journal.ts";
export { LineBudget, type LineRank } from "./line_budget.ts";
export { MetricsPage } from "./metrics_page.ts";
