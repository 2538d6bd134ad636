/** Which requests are admitted, and which are refused at once. */
export {
  type Admission,
  AdmissionRefused,
  type AdmissionRequest,
  RateAdmission,
} from "./rate_admission.ts";
