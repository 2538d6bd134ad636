import { Effect } from "effect";
import { steadyMs } from "../clock/index.ts";
import { findWithheldReason } from "./attempt_once.ts";
import {
  type AttemptProgress,
  type AttemptsOptions,
  type AttemptsResult,
  summarize,
} from "./attempt_progress.ts";
import {
  giveUpForBudget,
  isTooLateToBegin,
  payRetry,
  withhold,
} from "./before_attempt.ts";
import { chooseGateway } from "./choose_gateway.ts";
import { giveUp, giveUpAtStop } from "./conclude_call.ts";
import { relayCall } from "./relay_call.ts";

type RelayStep =
  /** This process's own links are to serve the request. */
  | { readonly kind: "own-links" }
  | { readonly kind: "again" }
  | { readonly kind: "ended"; readonly result: AttemptsResult };

/** Sends a request to another process while this one's own links are lost. */
export function relayIfLinksAreLost(
  options: AttemptsOptions,
  progress: AttemptProgress,
): Effect.Effect<RelayStep> {
  const { dependencies } = options;
  return Effect.gen(function* (): Effect.fn.Return<RelayStep> {
    const nowMs = yield* steadyMs;
    const gateway = chooseGateway(options, progress, nowMs);
    if (gateway === undefined) return concludeWithoutGateway(options, progress);
    const reason = findWithheldReason(options, nowMs);
    if (reason !== undefined) {
      const result = yield* withhold(options, progress, reason);
      return { kind: "ended", result };
    }
    if (isTooLateToBegin(options, progress, nowMs)) {
      dependencies.onWithheld("stopping");
      return { kind: "ended", result: giveUpAtStop(options, progress) };
    }
    const payment = yield* payRetry(options, progress);
    if (payment === "exhausted") {
      return { kind: "ended", result: giveUpForBudget(options, progress) };
    }
    if (payment === "again") return { kind: "again" };
    progress.isRetryPrepaid = false;
    progress.awaited = undefined;
    const result = yield* relayCall(options, progress, gateway);
    return result === undefined ? { kind: "again" } : { kind: "ended", result };
  });
}

/** Passes the refusal of the last gateway on, as the own links are lost. */
function concludeWithoutGateway(
  options: AttemptsOptions,
  progress: AttemptProgress,
): RelayStep {
  const { refusal, mayHaveRun } = progress;
  const { call, exchange, dependencies } = options;
  const isRefused = refusal !== undefined && !exchange.hasStarted &&
    dependencies.links.isLost(call.service);
  if (!isRefused) return { kind: "own-links" };
  if (mayHaveRun) {
    const { message } = refusal;
    const result = giveUp(options, progress, { cause: "gateway", message });
    return { kind: "ended", result };
  }
  const result: AttemptsResult = {
    kind: "given-up",
    cause: "gateway",
    response: refusal,
    hasStarted: false,
    ...summarize(progress),
  };
  return { kind: "ended", result };
}
