import type { CallOutcome, ClaimRecord } from "@celerytray/schema";
import { HashMap, Option } from "effect";
import type { LogEntry } from "../log/index.ts";

/** The claim that holds a key. */
export interface Claim {
  readonly claimRecordId: string;
  readonly requestSha256: string;
  readonly claimant: string;
  /** Log service's clock, Unix time. */
  readonly claimedAtMs: number;
  /** What became of the call, once recorded. */
  readonly outcome?: CallOutcome;
}

/** All claims of one partition. */
export interface ClaimState {
  readonly claims: HashMap.HashMap<string, Claim>;
  readonly keyByRecordId: HashMap.HashMap<string, string>;
}

/** The state before any record. */
export function emptyClaimState(): ClaimState {
  return { claims: HashMap.empty(), keyByRecordId: HashMap.empty() };
}

/** Keys are apart per organisation and service. */
export function createClaimKey(
  record: Pick<ClaimRecord, "organisation" | "service" | "key">,
): string {
  return JSON.stringify([record.organisation, record.service, record.key]);
}

/** Applies one record: the first claim of a key, and its first outcome, hold. */
export function foldClaimRecord(
  state: ClaimState,
  entry: LogEntry,
): ClaimState {
  const { record } = entry;
  if (record.kind === "claim") {
    const key = createClaimKey(record);
    if (HashMap.has(state.claims, key)) return state;
    const claim: Claim = {
      claimRecordId: record.recordId,
      requestSha256: record.requestSha256,
      claimant: record.claimant,
      claimedAtMs: entry.appendedAtMs,
    };
    return {
      claims: HashMap.set(state.claims, key, claim),
      keyByRecordId: HashMap.set(state.keyByRecordId, record.recordId, key),
    };
  }
  if (record.kind !== "outcome") return state;
  return recordOutcome(state, record.claimRecordId, record.outcome);
}

function recordOutcome(
  state: ClaimState,
  claimRecordId: string,
  outcome: CallOutcome,
): ClaimState {
  const key = Option.getOrUndefined(
    HashMap.get(state.keyByRecordId, claimRecordId),
  );
  if (key === undefined) return state;
  const claim = Option.getOrUndefined(HashMap.get(state.claims, key));
  if (claim === undefined || claim.outcome !== undefined) return state;
  return {
    ...state,
    claims: HashMap.set(state.claims, key, { ...claim, outcome }),
  };
}
