import {
  type AttemptProgress,
  type AttemptsOptions,
  describeOutcome,
  SERVER_ERROR_STATUS,
} from "./attempt_progress.ts";
import type { TargetOutcome } from "./attempt_once.ts";
import type { ServingTarget } from "./choose_target.ts";
import type { AttemptEnd } from "./end_cause.ts";
import type { AttemptOutcome } from "./exchange/index.ts";

/** Time for which an unreachable instance is avoided. */
const AVOID_UNREACHABLE_MS = 1_000;
/** Time for which an instance that rejected a request is avoided. */
const AVOID_REJECTING_MS = 150;
/** Time for which a stalled instance is avoided. */
const AVOID_STALLED_MS = 2_500;

/** An attempt that has ended, with its call. */
export interface EndedAttempt extends TargetOutcome {
  readonly options: AttemptsOptions;
  readonly progress: AttemptProgress;
  readonly target: ServingTarget;
  readonly nowMs: number;
}

/** Records the outcome of an attempt in the call's state and the load tracker. */
export function noteOutcome(
  { options, progress, target, outcome, nowMs, ...ended }: EndedAttempt,
): void {
  const { loads } = options.dependencies;
  const { instanceId, address } = target;
  progress.currentInstanceId = undefined;
  progress.isCurrentSent = false;
  progress.abandon = undefined;
  if (outcome.kind !== "not-run" || outcome.isRejected) {
    progress.deliveries += 1;
  }
  const events = progress.stream.describeLastTurn();
  progress.attempts.push(`${instanceId} ${describeOutcome(outcome)}${events}`);
  if (outcome.kind === "not-run" && outcome.isWithheld) return;
  const isClosing = options.dependencies.isClosing(instanceId);
  const end = findAttemptEnd(outcome, isClosing);
  if (end !== undefined) options.dependencies.onAttemptEnded(end);
  if (outcome.kind !== "not-run") progress.mayHaveRun = true;
  if (
    outcome.kind === "lost" && outcome.isStaleConnection &&
    !progress.hadStaleConnection
  ) {
    // The instance closed the idle connection; a new one may succeed.
    progress.hadStaleConnection = true;
    progress.tried.delete(instanceId);
    options.dependencies.discardAgent(address);
    return;
  }
  if (outcome.kind !== "not-run") {
    progress.notRunAtMs.delete(instanceId);
    const isLost = outcome.kind === "lost";
    progress.runs.note(target, {
      hasWritten: isLost && ended.hasWritten,
      isMoved: isLost && outcome.abandonReason !== undefined,
      isAlive: ended.isAlive,
      nowMs,
    });
  }
  if (outcome.kind === "not-run") {
    progress.notRunAtMs.set(instanceId, nowMs);
    progress.refusals.note(nowMs);
    // What reached no instance is not a retry, so its charge stands for the next.
    if (!outcome.isRejected) {
      progress.isRetryPrepaid = progress.deliveries > 0;
    }
    loads.avoidUntil(
      instanceId,
      nowMs + (outcome.isRejected ? AVOID_REJECTING_MS : AVOID_UNREACHABLE_MS),
    );
  } else if (outcome.kind === "lost") {
    const { abandonReason } = outcome;
    if (abandonReason === "slow" || abandonReason === "closing") return;
    options.dependencies.discardAgent(address);
    if (abandonReason === "stalled") {
      loads.avoidUntil(instanceId, nowMs + AVOID_STALLED_MS);
    }
  }
  loads.noteOutcome(instanceId, {
    hasFailed: outcome.kind === "lost" ||
      (outcome.kind === "answered" &&
        outcome.headers.status >= SERVER_ERROR_STATUS),
    nowMs,
  });
}

/** How an attempt ended; undefined if it brought a whole answer. */
function findAttemptEnd(
  outcome: AttemptOutcome,
  isClosing: boolean,
): AttemptEnd | undefined {
  switch (outcome.kind) {
    case "streamed":
      return undefined;
    case "answered":
      return outcome.headers.status >= SERVER_ERROR_STATUS
        ? "error"
        : undefined;
    case "not-run":
      return outcome.isRejected ? "rejected" : "unreachable";
    case "lost":
      if (outcome.abandonReason !== undefined) {
        return `moved-${outcome.abandonReason}`;
      }
      if (outcome.isFaulty) return "faulty";
      return isClosing ? "lost-closing" : "lost";
  }
}
