import type { CallOutcome, ClaimRecord } from "@celerytray/schema";
import { Data, Effect, HashMap, Option } from "effect";
import { createHash } from "node:crypto";
import type { LogError, LogWriter, StreamView } from "../log/index.ts";
import {
  type Claim,
  type ClaimState,
  createClaimKey,
} from "./fold_claim_record.ts";

/** Another call with the key runs now, or its outcome is not recorded. */
export class ClaimBusy extends Data.TaggedError("ClaimBusy")<{
  readonly message: string;
}> {}

/** The key was used before for another request. */
export class ClaimKeyReused extends Data.TaggedError("ClaimKeyReused")<{
  readonly message: string;
}> {}

/** Whether this call runs, or what an earlier one with the key came to. */
export type ClaimDecision =
  | { readonly kind: "granted"; readonly claimRecordId: string }
  | { readonly kind: "done"; readonly outcome: CallOutcome };

/** A call to claim and the partition it belongs to. */
export interface ClaimCallOptions {
  readonly record: ClaimRecord;
  readonly writer: LogWriter;
  readonly view: StreamView<ClaimState>;
}

/** Claims a call; it may be dispatched only when granted. */
export function claimCall(
  options: ClaimCallOptions,
): Effect.Effect<ClaimDecision, ClaimBusy | ClaimKeyReused | LogError> {
  const { record, writer, view } = options;
  return Effect.gen(function* () {
    const known = findClaim(view.current(), record);
    if (known !== undefined) return yield* answerFromClaim(known, record);
    const offset = yield* writer.append(record);
    yield* view.waitForOffset(offset);
    const winner = findClaim(view.current(), record);
    if (winner === undefined) {
      return yield* new ClaimBusy({ message: "The claim was not recorded" });
    }
    return yield* answerFromClaim(winner, record);
  });
}

/** Partition of a key, the same in every process. */
export function selectClaimPartition(
  record: Pick<ClaimRecord, "organisation" | "service" | "key">,
  partitionCount: number,
): number {
  const digest = createHash("sha256").update(createClaimKey(record)).digest();
  return digest.readUInt32BE(0) % partitionCount;
}

function findClaim(state: ClaimState, record: ClaimRecord): Claim | undefined {
  return Option.getOrUndefined(
    HashMap.get(state.claims, createClaimKey(record)),
  );
}

function answerFromClaim(
  claim: Claim,
  record: ClaimRecord,
): Effect.Effect<ClaimDecision, ClaimBusy | ClaimKeyReused> {
  if (claim.claimRecordId === record.recordId) {
    return Effect.succeed({
      kind: "granted",
      claimRecordId: claim.claimRecordId,
    });
  }
  if (claim.requestSha256 !== record.requestSha256) {
    return Effect.fail(
      new ClaimKeyReused({
        message:
          "The idempotency key was used for another request; send a new key",
      }),
    );
  }
  if (claim.outcome === undefined) {
    return Effect.fail(
      new ClaimBusy({
        message:
          "A call with this idempotency key runs or its outcome is unknown; ask the service before a new key is used",
      }),
    );
  }
  return Effect.succeed({ kind: "done", outcome: claim.outcome });
}
