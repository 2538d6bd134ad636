import type { CallOutcome } from "@celerytray/schema";
import type { Effect } from "effect";
import type {
  ClaimDecision,
  ClaimedCall,
  ClaimFailure,
} from "../claims/index.ts";
import type { ReplicaLoad } from "../routing/index.ts";

/** A replica that can serve now. */
export interface ReadyReplica extends ReplicaLoad {
  readonly fencingNumber: number;
  /** IP:PORT of the head, the member that takes requests. */
  readonly headAddress: string;
}

/** An instance of a plain service that can serve now. */
export interface PlainInstance extends ReplicaLoad {
  readonly address: string;
}

/** The claims interface of the data plane. */
export interface ForwardingClaims {
  /** Waits at most `waitMs` for the outcome of another call with the key. */
  claim(
    call: ClaimedCall,
    options: { readonly waitMs: number },
  ): Effect.Effect<ClaimDecision, ClaimFailure>;
  /** Records the outcome of a granted call; retries in the background. */
  recordOutcome(
    claim: { readonly key: ClaimedCall; readonly claimRecordId: string },
    outcome: CallOutcome,
  ): Effect.Effect<void>;
}
