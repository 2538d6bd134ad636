/** Causes of failed requests and durations of repairs, from structured logs. */
export {
  type CallExplanation,
  explainCall,
  type LogLine,
  parseLogLines,
} from "./explain_call.ts";
export { listRepairs, type Repair } from "./list_repairs.ts";
