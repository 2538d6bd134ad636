/**
 * Quarantine of parts of prompts, and of whole requests, that crash the instances
 * that work on them.
 */
export { AliveCheck, type CheckedInstance } from "./alive_check.ts";
export { AttemptWatch } from "./attempt_watch.ts";
export { CallCauses } from "./crash_causes.ts";
export type { PartAssessment } from "./assess_part.ts";
export {
  CrashQuarantine,
  type QuarantineEvent,
  type QuarantineRefusal,
  type QuarantineVerdict,
} from "./crash_quarantine.ts";
export type { LossProof, ProveLoss } from "./loss_proof.ts";
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
export {
  describeQuarantineRefusal,
  refuseIfQuarantined,
} from "./refuse_if_quarantined.ts";
export { SuspectLoad } from "./suspect_load.ts";
