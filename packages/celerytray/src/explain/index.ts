/** Causes of failed requests and times of repairs, by the structured logs. */
export {
  type CallExplanation,
  explainCall,
  type LogLine,
  parseLogLines,
} from "./explain_call.ts";
export { listRepairs, type Repair } from "./list_repairs.ts";
