import type { CallOutcome, ClaimRecord } from "@celerytray/schema";
import type { Effect } from "effect";
import type {
  ClaimBusy,
  ClaimDecision,
  ClaimKeyReused,
} from "../claims/index.ts";
import type { LogError } from "../log/index.ts";
import type { ReplicaLoad } from "../routing/index.ts";

/** A replica that may serve now. */
export interface ReadyReplica extends ReplicaLoad {
  readonly fencingNumber: number;
  /** IP:PORT of the member that takes requests. */
  readonly leaderAddress: string;
}

/** An instance of a plain service that may serve now. */
export interface PlainInstance extends ReplicaLoad {
  readonly address: string;
}

/** Claims as the data plane uses them. */
export interface ForwardingClaims {
  claim(
    call: Omit<ClaimRecord, "kind" | "recordId" | "claimant">,
  ): Effect.Effect<ClaimDecision, ClaimBusy | ClaimKeyReused | LogError>;
  /** Records what became of a granted call; retries in the background. */
  recordOutcome(
    claim: {
      readonly key: Omit<ClaimRecord, "kind" | "recordId" | "claimant">;
      readonly claimRecordId: string;
    },
    outcome: CallOutcome,
  ): Effect.Effect<void>;
}
