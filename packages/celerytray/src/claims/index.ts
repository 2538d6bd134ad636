/** At-most-once calls: only the first claim of a key in log order is granted. */

// Claiming
export {
  claimCall,
  type ClaimCallOptions,
  type ClaimDecision,
  type ClaimedCall,
  type GrantedClaim,
  selectClaimPartition,
} from "./claim_call.ts";
export {
  ClaimBusy,
  type ClaimFailure,
  ClaimKeyRefused,
  ClaimKeyReused,
  ClaimOutcomeUnknown,
  ClaimUnavailable,
} from "./claim_errors.ts";

// State
export { type Claim, ClaimTable, createClaimKey } from "./claim_table.ts";
export {
  type ClaimView,
  type ClaimViewOptions,
  createClaimView,
} from "./claim_view.ts";

// Policy
export { checkKeyAge } from "./check_key_age.ts";
export {
  type ClaimPolicy,
  ClaimPolicyRejected,
  type ClaimPolicySettings,
  createClaimPolicy,
} from "./claim_policy.ts";
export { FairQueueLimit } from "./fair_queue_limit.ts";
export { isBeforeDispatchDeadline } from "./dispatch_deadline.ts";
export { findKeyIssuedAtMs } from "./key_time.ts";
