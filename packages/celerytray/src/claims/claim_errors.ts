import { Data } from "effect";

/** The first call with the key runs, and did not end before the wait did. */
export class ClaimBusy extends Data.TaggedError("ClaimBusy")<{
  readonly message: string;
}> {}

/** The first call with the key may have run, and left no outcome. */
export class ClaimOutcomeUnknown
  extends Data.TaggedError("ClaimOutcomeUnknown")<{
    readonly message: string;
  }> {}

/** The key was used before for another request. */
export class ClaimKeyReused extends Data.TaggedError("ClaimKeyReused")<{
  readonly message: string;
}> {}

/** The key is not of a kind that can be guarded, or no longer. */
export class ClaimKeyRefused extends Data.TaggedError("ClaimKeyRefused")<{
  readonly reason: "undated" | "too-old" | "in-future";
  readonly message: string;
}> {}

/** No claim could be made now; the call was not and will not be sent. */
export class ClaimUnavailable extends Data.TaggedError("ClaimUnavailable")<{
  readonly message: string;
  readonly retryAfterMs: number;
}> {}

/** Why a call was not granted. */
export type ClaimFailure =
  | ClaimBusy
  | ClaimOutcomeUnknown
  | ClaimKeyReused
  | ClaimKeyRefused
  | ClaimUnavailable;
