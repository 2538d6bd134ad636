/** Admission of requests to the replicas of their models. */
export {
  type AdmissionCall,
  type AdmissionRecord,
  CallAdmission,
  type CallAdmissionOptions,
  type QueueKey,
} from "./call_admission.ts";
export type {
  AdmissionEnd,
  AdmissionRefusal,
  HeadRoom,
} from "./admission_ticket.ts";
export { replicaReturnMs } from "./return_time.ts";
