/** Assembles an entry instance from its parts. */
export {
  createEntryInstance,
  type EntryInstance,
  type EntryInstanceOptions,
} from "./create_entry_instance.ts";
export { type AttemptState, createAttemptState } from "./entry_attempts.ts";
export { createEntryClaims, type EntryClaimsOptions } from "./entry_claims.ts";
export { createExchangedConfig } from "./entry_membership.ts";
