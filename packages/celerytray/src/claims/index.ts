/** At-most-once calls: the first claim of a key in log order runs it. */
export {
  type Claim,
  type ClaimState,
  createClaimKey,
  emptyClaimState,
  foldClaimRecord,
} from "./fold_claim_record.ts";
export {
  ClaimBusy,
  claimCall,
  type ClaimCallOptions,
  type ClaimDecision,
  ClaimKeyReused,
  selectClaimPartition,
} from "./claim_call.ts";
