/** Quarantine of parts of prompts that crash the instances that write on them. */
export { AttemptWatch } from "./attempt_watch.ts";
export { CallCauses } from "./crash_causes.ts";
export type { PartAssessment } from "./crash_evidence.ts";
export {
  PromptQuarantine,
  type PromptRefusal,
  type PromptVerdict,
  type QuarantineEvent,
} from "./prompt_quarantine.ts";
export { QuarantineBoard } from "./quarantine_board.ts";
export {
  ageReport,
  EMPTY_REPORT,
  isQuarantinedPart,
  mergeReports,
  parseQuarantineReport,
  type QuarantinedPart,
  type QuarantineReport,
  type SuspectPart,
} from "./quarantine_report.ts";
export { describePromptRefusal, refuseByPrompt } from "./refuse_by_prompt.ts";
export { SuspectLoad } from "./suspect_load.ts";
