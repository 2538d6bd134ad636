/** From a request's id to its cause, by the structured logs. */
export {
  type CallExplanation,
  explainCall,
  type LogLine,
  parseLogLines,
} from "./explain_call.ts";
