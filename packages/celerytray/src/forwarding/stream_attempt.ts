import { Clock, Effect } from "effect";
import { type IncomingMessage, request as httpRequest } from "node:http";
import {
  type BackendPools,
  parseAddress,
  watchExchange,
} from "../http/index.ts";
import type { CompletionSink } from "./completion_sink.ts";
import type { ReadyReplica } from "./forwarding_types.ts";
import { type Activity, relayTokens } from "./relay_tokens.ts";
import type { AttemptOutcome } from "./stream_outcome.ts";

/** Options of an attempt. */
export interface StreamAttemptOptions {
  readonly requestId: string;
  readonly replica: ReadyReplica;
  /** JSON body for the engine. */
  readonly body: string;
  readonly sink: CompletionSink;
  readonly pools: BackendPools;
  /** Time without data after which the connection counts as broken. */
  readonly idleTimeoutMs: number;
}

const SERVER_ERROR_STATUS = 500;
const CONFLICT_STATUS = 409;
const TOO_MANY_REQUESTS_STATUS = 429;
const UNAVAILABLE_STATUS = 503;
const MAX_ERROR_BYTES = 64 * 1024;
const CALLER_STALL_TIMEOUT_MS = 60_000;

/**
 * Sends a request to a replica and forwards its tokens to the sink, from the
 * first one that the sink lacks. Interruption cancels the request at the engine.
 */
export function runStreamAttempt(
  options: StreamAttemptOptions,
): Effect.Effect<AttemptOutcome> {
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const activity: Activity = {
      atMs: clock.currentTimeMillisUnsafe(),
      isAwaitingCaller: false,
    };
    const noteActivity = () => {
      activity.atMs = clock.currentTimeMillisUnsafe();
    };
    return yield* Effect.raceFirst(
      sendAttempt({ ...options, activity, noteActivity }),
      watchIdle(activity, options),
    );
  });
}

function watchIdle(
  activity: Activity,
  options: StreamAttemptOptions,
): Effect.Effect<AttemptOutcome> {
  return Effect.gen(function* () {
    while (true) {
      const nowMs = yield* Clock.currentTimeMillis;
      const limitMs = activity.isAwaitingCaller
        ? CALLER_STALL_TIMEOUT_MS
        : options.idleTimeoutMs;
      const remainingMs = activity.atMs + limitMs - nowMs;
      if (remainingMs <= 0) return createIdleOutcome(activity, options);
      yield* Effect.sleep(remainingMs);
    }
  });
}

function createIdleOutcome(
  activity: Activity,
  options: StreamAttemptOptions,
): AttemptOutcome {
  if (activity.isAwaitingCaller) {
    return {
      kind: "undeliverable",
      message: `The caller read nothing for ${CALLER_STALL_TIMEOUT_MS} ms`,
    };
  }
  options.pools.discard(options.replica.headAddress);
  return {
    kind: "cut",
    message: `The replica sent nothing for ${options.idleTimeoutMs} ms`,
  };
}

interface ActiveAttempt extends StreamAttemptOptions {
  readonly activity: Activity;
  readonly noteActivity: () => void;
}

function sendAttempt(options: ActiveAttempt): Effect.Effect<AttemptOutcome> {
  const { replica, noteActivity } = options;
  return Effect.callback<AttemptOutcome>((resume) => {
    const settle = (outcome: AttemptOutcome) => resume(Effect.succeed(outcome));
    let isInterrupted = false;
    const request = httpRequest({
      ...parseAddress(replica.headAddress),
      path: "/v1/chat/completions",
      method: "POST",
      agent: options.pools.agentFor(replica.headAddress),
      headers: createAttemptHeaders(options),
    });
    let connected = false;
    request.on("socket", (socket) => {
      const onConnect = () => {
        connected = true;
        noteActivity();
      };
      if (socket.connecting) socket.once("connect", onConnect);
      else onConnect();
    });
    watchExchange(request, {
      onFailure: (error) =>
        settle({
          kind: connected ? "cut" : "not-run",
          message: `Call to the replica failed: ${error.message}`,
        }),
      onResponse: (response) => {
        noteActivity();
        return response.statusCode === 200
          ? relayTokens(response, {
            ...options,
            settle,
            isInterrupted: () => isInterrupted,
          })
          : readErrorResponse(response, settle);
      },
    });
    request.end(options.body);
    return Effect.sync(() => {
      isInterrupted = true;
      request.destroy();
    });
  });
}

function createAttemptHeaders(
  options: StreamAttemptOptions,
): Record<string, string | number> {
  const { replica, requestId, sink } = options;
  const headers: Record<string, string | number> = {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(options.body),
    "x-request-id": requestId,
    "celerytray-replica-id": replica.replicaId,
    "celerytray-fencing-number": replica.fencingNumber,
  };
  if (sink.nextIndex > 0) {
    headers["last-event-id"] = `${requestId}:${sink.nextIndex - 1}`;
  }
  return headers;
}

function readErrorResponse(
  response: IncomingMessage,
  settle: (outcome: AttemptOutcome) => void,
): () => void {
  const status = response.statusCode ?? SERVER_ERROR_STATUS;
  let text = "";
  response.setEncoding("utf8");
  response.on("data", (part: string) => {
    if (text.length < MAX_ERROR_BYTES) text += part;
  });
  const finish = () => settle(classifyErrorResponse(status, text));
  response.on("error", finish);
  return finish;
}

function classifyErrorResponse(status: number, text: string): AttemptOutcome {
  const message = `The replica responded with status ${status}: ${
    text.slice(0, 200)
  }`;
  const isNotRun = status === CONFLICT_STATUS ||
    status === TOO_MANY_REQUESTS_STATUS || status === UNAVAILABLE_STATUS;
  if (isNotRun) return { kind: "not-run", message };
  if (status >= SERVER_ERROR_STATUS) return { kind: "cut", message };
  return { kind: "rejected", status, message };
}
