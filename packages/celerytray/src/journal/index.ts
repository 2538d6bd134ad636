/** Structured log and metrics of a process. */
export { Journal, type JournalOptions, type LineFields } from "./journal.ts";
export { LineBudget, type LineRank } from "./line_budget.ts";
export { MetricsPage } from "./metrics_page.ts";
