/** Admission control of requests to the replicas of their models. */
export { AdmissionQueue } from "./admission_queue.ts";
export {
  type AdmissionCall,
  type AdmissionRecord,
  CallAdmission,
  type CallAdmissionOptions,
  type QueueKey,
  type RefusalReason,
} from "./call_admission.ts";
export type {
  AdmissionEnd,
  AdmissionRefusal,
  HeadOccupancy,
} from "./admission_ticket.ts";
