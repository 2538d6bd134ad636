import type {
  AttemptProgress,
  AttemptsOptions,
  AttemptsResult,
} from "./attempt_progress.ts";
import type { ExclusionReason } from "./call_context.ts";
import {
  giveUp,
  refuseAsFull,
  refuseBeforeTurn,
  refuseForQuarantine,
  refuseInQueue,
  refuseWhileBackingOff,
  refuseWithoutReplica,
} from "./conclude_call.ts";
import type { TargetSearch } from "./find_target.ts";

const EXCLUSION_MESSAGES: Readonly<Record<ExclusionReason, string>> = {
  evacuated: "Every zone that could serve the request is evacuated",
  "not-at-home": "No back end is in a region that the request may reach",
};

/** Ends a call whose search found no target. */
export function concludeSearch(
  options: AttemptsOptions,
  progress: AttemptProgress,
  { search, nowMs }: {
    readonly search: Exclude<TargetSearch, { kind: "found" | "relay" }>;
    readonly nowMs: number;
  },
): AttemptsResult {
  switch (search.kind) {
    case "full":
      return refuseAsFull(options, progress);
    case "backing-off":
      return refuseWhileBackingOff(options, progress, search.backoffMs);
    case "barred": {
      const message = EXCLUSION_MESSAGES[search.reason];
      return giveUp(options, progress, { cause: "excluded", message });
    }
    case "cold":
    case "limited": {
      const { kind: cause, waitMs } = search;
      return refuseBeforeTurn(options, progress, { cause, waitMs, nowMs });
    }
    case "quarantined":
      options.dependencies.onWithheld("quarantine");
      return refuseForQuarantine(options, progress, search.refusal);
    case "refused":
      return refuseInQueue(options, progress, search.refusal.retryAfterMs);
    case "no-replica":
      return refuseWithoutReplica(options, progress, search.retryAfterMs);
    case "none":
      return giveUp(options, progress, {
        cause: "no-target",
        message: "No back end is available",
      });
  }
}
