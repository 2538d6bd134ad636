import type { CallOutcome, ClaimRecord } from "@celerytray/schema";
import type { LogEntry } from "../log/index.ts";
import { type ClaimPolicy, findClaimLifetimeMs } from "./claim_policy.ts";

/** The claim that holds a key. */
export interface Claim {
  readonly claimRecordId: string;
  /** Place in the log; also the call's fencing number. */
  readonly offset: number;
  readonly requestSha256: string;
  readonly claimant: string;
  /** Log service's clock, Unix time. */
  readonly claimedAtMs: number;
  /** What became of the call, once recorded. */
  readonly outcome?: CallOutcome;
}

/** Times that the fold needs; the same in every process. */
export type ClaimTablePolicy = Pick<
  ClaimPolicy,
  "windowMs" | "maxClockErrorMs"
>;

/**
 * All claims of one partition, folded from its records. The first valid claim
 * of a key in log order holds it until its lifetime ends; the log service's
 * clock alone decides when that is, so every process folds alike.
 */
export class ClaimTable {
  readonly #policy: ClaimTablePolicy;
  /** By key, oldest first. */
  readonly #claims = new Map<string, Claim>();
  readonly #keyByRecordId = new Map<string, string>();
  /** When records that never take a key were released, oldest first. */
  readonly #releasedAtMs = new Map<string, number>();
  #logTimeMs = Number.NEGATIVE_INFINITY;

  constructor(policy: ClaimTablePolicy) {
    this.#policy = policy;
  }

  /** Number of claims kept. */
  get size(): number {
    return this.#claims.size;
  }

  /** Latest time of the log service's clock that was folded. */
  get logTimeMs(): number {
    return this.#logTimeMs;
  }

  /** The claim that holds a key. */
  find(key: string): Claim | undefined {
    return this.#claims.get(key);
  }

  /** Applies one record and returns the key that it changed. */
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
   * A key issued in the window cannot have had a claim that was dropped: its
   * first claim is at most the clock error older than the key.
   */
  #isInWindow(keyIssuedAtMs: number | undefined): boolean {
    if (keyIssuedAtMs === undefined) return true;
    const ageMs = this.#logTimeMs - keyIssuedAtMs;
    const { windowMs, maxClockErrorMs } = this.#policy;
    return ageMs <= windowMs && ageMs >= -maxClockErrorMs;
  }

  /** The claimant alone releases, once it is certain never to send the call. */
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

/** Keys are apart per organisation and service. */
export function createClaimKey(
  record: Pick<ClaimRecord, "organisation" | "service" | "key">,
): string {
  return JSON.stringify([record.organisation, record.service, record.key]);
}
