import {
  type AttemptProgress,
  type AttemptsOptions,
  type AttemptsResult,
  describeOutcome,
  mayAttemptAgain,
  mayRetryResponse,
  summarize,
} from "./attempt_progress.ts";
import type { ResponseHeaders } from "./call.ts";
import { giveUpAfterLast } from "./conclude_call.ts";
import type { AttemptOutcome, LocalResponse } from "./exchange/index.ts";
import type { Gateway } from "./relay/index.ts";

/** Time for which a gateway is avoided that can't be reached or can't serve. */
const AVOID_MS = 500;
const UNAVAILABLE_STATUS = 503;
const SERVER_ERROR_STATUS = 500;

/** An attempt at a gateway. */
export interface RelayAttempt {
  readonly gateway: Gateway;
  readonly attemptsLeft: number;
}

/** An attempt at a gateway that has ended. */
export interface EndedRelay extends RelayAttempt {
  readonly outcome: AttemptOutcome;
  /** Whether its stream had written for a while. */
  readonly hasWritten: boolean;
  readonly nowMs: number;
}

/**
 * Concludes an attempt at a gateway. Returns the end of the request; undefined if
 * it may be attempted again.
 */
export function concludeRelay(
  options: AttemptsOptions,
  progress: AttemptProgress,
  { gateway, attemptsLeft, outcome, hasWritten, nowMs }: EndedRelay,
): AttemptsResult | undefined {
  const { gateways, discardAgent } = options.dependencies;
  const events = progress.stream.describeLastTurn();
  progress.attempts.push(
    `through ${gateway.nodeId} ${describeOutcome(outcome)}${events}`,
  );
  progress.currentInstanceId = undefined;
  progress.isCurrentSent = false;
  progress.abandon = undefined;
  switch (outcome.kind) {
    case "streamed":
      return { kind: "streamed", ...summarize(progress) };
    case "answered":
      return concludeAnswer(options, progress, {
        gateway,
        attemptsLeft,
        nowMs,
        headers: outcome.headers,
        body: outcome.body,
      });
    case "not-run":
      if (outcome.isWithheld) return undefined;
      progress.refusals.note(nowMs);
      gateways.avoidUntil(gateway, nowMs + AVOID_MS);
      return undefined;
    case "lost":
      notePossibleRuns(progress, attemptsLeft);
      // It ended with its gateway, and not for what it asks of a replica.
      if (hasWritten) progress.runs.noteOrdered();
      gateways.avoidUntil(gateway, nowMs + AVOID_MS);
      discardAgent(gateway.peerAddress);
      return mayAttemptAgain(options, progress)
        ? undefined
        : giveUpAfterLast(options, progress, describeOutcome(outcome));
  }
}

interface AnsweredRelay extends RelayAttempt {
  readonly headers: ResponseHeaders;
  readonly body: Buffer;
  readonly nowMs: number;
}

function concludeAnswer(
  options: AttemptsOptions,
  progress: AttemptProgress,
  answer: AnsweredRelay,
): AttemptsResult | undefined {
  const { isOwnAnswer, callId, hasServerStamp } = answer.headers;
  if (isOwnAnswer) return concludeOwnAnswer(options, progress, answer);
  // A process of an earlier version, at the address of a gateway that ended,
  // answers relayed requests like unknown calls of other processes.
  return callId === undefined && !hasServerStamp
    ? concludeForeignAnswer(options, progress, answer)
    : concludeInstanceAnswer(options, progress, answer);
}

/** Neither the gateway nor an instance gave the answer. */
function concludeForeignAnswer(
  options: AttemptsOptions,
  progress: AttemptProgress,
  { gateway, attemptsLeft, headers: { status }, nowMs }: AnsweredRelay,
): AttemptsResult | undefined {
  const { gateways, discardAgent } = options.dependencies;
  notePossibleRuns(progress, attemptsLeft);
  gateways.avoidUntil(gateway, nowMs + AVOID_MS);
  discardAgent(gateway.peerAddress);
  const message = `${gateway.nodeId} answered ${status} without naming it`;
  return mayAttemptAgain(options, progress)
    ? undefined
    : giveUpAfterLast(options, progress, message);
}

/** An error of an instance is retried as if it had been called directly. */
function concludeInstanceAnswer(
  options: AttemptsOptions,
  progress: AttemptProgress,
  { gateway, attemptsLeft, headers, body }: AnsweredRelay,
): AttemptsResult | undefined {
  notePossibleRuns(progress, attemptsLeft);
  if (mayRetryResponse(options, progress, headers)) {
    progress.failure = { headers, body };
    progress.gatewaySentAtMs.delete(gateway.nodeId);
    return undefined;
  }
  // It can't continue a stream that has begun.
  if (options.exchange.hasStarted) {
    const message = describeOutcome({ kind: "answered", headers, body });
    return giveUpAfterLast(options, progress, message);
  }
  return { kind: "answered", headers, body, ...summarize(progress) };
}

/** A gateway that refuses a request says that it has not run. */
function concludeOwnAnswer(
  options: AttemptsOptions,
  progress: AttemptProgress,
  { gateway, attemptsLeft, headers, body, nowMs }: AnsweredRelay,
): AttemptsResult | undefined {
  const { exchange, dependencies: { gateways } } = options;
  const { status } = headers;
  const message = body.toString("utf8").trim();
  if (status < SERVER_ERROR_STATUS || status === UNAVAILABLE_STATUS) {
    gateways.avoidUntil(gateway, nowMs + AVOID_MS);
    progress.refusals.note(nowMs);
    progress.refusal = createLocalResponse(headers, message);
    return undefined;
  }
  notePossibleRuns(progress, attemptsLeft);
  if (mayAttemptAgain(options, progress)) return undefined;
  if (exchange.hasStarted) return giveUpAfterLast(options, progress, message);
  return {
    kind: "given-up",
    cause: "gateway",
    response: createLocalResponse(headers, message),
    hasStarted: false,
    ...summarize(progress),
  };
}

function createLocalResponse(
  { status, backoffMs }: ResponseHeaders,
  message: string,
): LocalResponse {
  return {
    status,
    message,
    ...(backoffMs === undefined ? {} : { retryAfterMs: backoffMs }),
  };
}

function notePossibleRuns(progress: AttemptProgress, runs: number): void {
  progress.mayHaveRun = true;
  progress.runs.noteRelayed(runs);
  progress.deliveries += 1;
}
