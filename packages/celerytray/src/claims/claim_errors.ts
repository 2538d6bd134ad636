import { Data } from "effect";

/** The first call with the key was still running when the wait timed out. */
export class ClaimBusy extends Data.TaggedError("ClaimBusy")<{
  readonly message: string;
}> {}

/** The first call with the key may have run, but no outcome is recorded. */
export class ClaimOutcomeUnknown
  extends Data.TaggedError("ClaimOutcomeUnknown")<{
    readonly message: string;
  }> {}

/** The key was used for another request before. */
export class ClaimKeyReused extends Data.TaggedError("ClaimKeyReused")<{
  readonly message: string;
}> {}

/** Earlier use of the key can't be ruled out, because of its time of issue. */
export class ClaimKeyRefused extends Data.TaggedError("ClaimKeyRefused")<{
  readonly reason: "undated" | "too-old" | "in-future";
  readonly message: string;
}> {}

/** No claim could be made; the call was not and will not be sent. */
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
