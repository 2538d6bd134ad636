/** Admission control: which requests run, wait or are refused at once. */
export {
  type Admission,
  AdmissionRefused,
  type AdmissionRequest,
  RateAdmission,
} from "./rate_admission.ts";
export { DemandMeter, type DemandMeterOptions } from "./demand_meter.ts";
export {
  FairQueue,
  type QueueCandidate,
  type QueuedTicket,
} from "./fair_queue.ts";
export {
  SlotAdmission,
  type SlotAdmissionOptions,
  type SlotRequest,
  type SlotTicket,
} from "./slot_admission.ts";
export {
  CallSlots,
  type CallSlotsOptions,
  type SlotCall,
} from "./call_slots.ts";
