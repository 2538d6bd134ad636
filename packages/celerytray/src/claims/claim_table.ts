import type { CallOutcome, ClaimRecord } from "@celerytray/schema";
import type { LogEntry } from "../log/index.ts";
import { type ClaimPolicy, findClaimLifetimeMs } from "./claim_policy.ts";

/** A claim that holds a key. */
export interface Claim {
  readonly claimRecordId: string;
  /** Offset in the log; also the call's fencing number. */
  readonly offset: number;
  readonly requestSha256: string;
  readonly claimant: string;
  /** Log service's clock, Unix time. */
  readonly claimedAtMs: number;
  /** Outcome of the call, once recorded. */
  readonly outcome?: CallOutcome;
}

/** Time limits that the table needs; the same in every process. */
export type ClaimTablePolicy = Pick<
  ClaimPolicy,
  "windowMs" | "maxClockErrorMs"
>;

/**
 * All claims of one partition, built from its records. The first valid claim
 * of a key in log order holds it until the claim expires. Expiry is decided by
 * the log service's clock alone, so every process reaches the same state.
 */
export class ClaimTable {
  readonly #policy: ClaimTablePolicy;
  /** Claims by key, oldest first. */
  readonly #claims = new Map<string, Claim>();
  readonly #keyByRecordId = new Map<string, string>();
  /**
   * Times at which claim records were released, oldest first. Such a record
   * never holds its key, even if it arrives later.
   */
  readonly #releasedAtMs = new Map<string, number>();
  #logTimeMs = Number.NEGATIVE_INFINITY;

  constructor(policy: ClaimTablePolicy) {
    this.#policy = policy;
  }

  /** Number of claims kept. */
  get size(): number {
    return this.#claims.size;
  }

  /** Latest time of the log service's clock in the applied records. */
  get logTimeMs(): number {
    return this.#logTimeMs;
  }

  /** The claim that holds a key. */
  find(key: string): Claim | undefined {
    return this.#claims.get(key);
  }

  /** Applies one record and returns the key whose claim it changed. */
  apply(entry: LogEntry): string | undefined {
    this.#logTimeMs = Math.max(this.#logTimeMs, entry.appendedAtMs);
    this.#dropExpired();
    const { record } = entry;
    if (record.kind === "claim") return this.#applyClaim(record, entry.offset);
    if (record.kind !== "outcome") return undefined;
    return record.outcome.state === "not-run"
      ? this.#release(record.claimRecordId)
      : this.#applyOutcome(record.claimRecordId, record.outcome);
  }

  #applyClaim(record: ClaimRecord, offset: number): string | undefined {
    const key = createClaimKey(record);
    if (this.#claims.has(key)) return undefined;
    if (this.#releasedAtMs.has(record.recordId)) return undefined;
    if (!this.#isInWindow(record.keyIssuedAtMs)) return undefined;
    this.#claims.set(key, {
      claimRecordId: record.recordId,
      offset,
      requestSha256: record.requestSha256,
      claimant: record.claimant,
      claimedAtMs: this.#logTimeMs,
    });
    this.#keyByRecordId.set(record.recordId, key);
    return key;
  }

  /**
   * A key that was issued within the window can't have had a claim that has
   * expired: its first claim is older than the key by at most the clock error.
   */
  #isInWindow(keyIssuedAtMs: number | undefined): boolean {
    if (keyIssuedAtMs === undefined) return true;
    const ageMs = this.#logTimeMs - keyIssuedAtMs;
    const { windowMs, maxClockErrorMs } = this.#policy;
    return ageMs <= windowMs && ageMs >= -maxClockErrorMs;
  }

  /** Only the claimant releases, once it is certain never to send the call. */
  #release(claimRecordId: string): string | undefined {
    this.#releasedAtMs.set(claimRecordId, this.#logTimeMs);
    const key = this.#keyByRecordId.get(claimRecordId);
    if (key === undefined) return undefined;
    if (this.#claims.get(key)?.outcome !== undefined) return undefined;
    this.#drop(key);
    return key;
  }

  #applyOutcome(
    claimRecordId: string,
    outcome: CallOutcome,
  ): string | undefined {
    const key = this.#keyByRecordId.get(claimRecordId);
    if (key === undefined) return undefined;
    const claim = this.#claims.get(key)!;
    if (claim.outcome !== undefined) return undefined;
    this.#claims.set(key, { ...claim, outcome });
    return key;
  }

  #dropExpired(): void {
    const expiredMs = this.#logTimeMs - findClaimLifetimeMs(this.#policy);
    for (const [key, { claimedAtMs }] of this.#claims) {
      if (claimedAtMs >= expiredMs) break;
      this.#drop(key);
    }
    for (const [recordId, releasedAtMs] of this.#releasedAtMs) {
      if (releasedAtMs >= expiredMs) break;
      this.#releasedAtMs.delete(recordId);
    }
  }

  #drop(key: string): void {
    const claim = this.#claims.get(key);
    if (claim === undefined) return;
    this.#claims.delete(key);
    this.#keyByRecordId.delete(claim.claimRecordId);
  }
}

/** Combines a key with its organisation and service, which scope it. */
export function createClaimKey(
  record: Pick<ClaimRecord, "organisation" | "service" | "key">,
): string {
  return JSON.stringify([record.organisation, record.service, record.key]);
}
