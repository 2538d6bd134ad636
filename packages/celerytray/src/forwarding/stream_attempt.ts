import { Clock, Effect } from "effect";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import { type IncomingMessage, request as httpRequest } from "node:http";
import {
  type BackendPools,
  parseAddress,
  watchExchange,
} from "../http/index.ts";
import type { CompletionSink } from "./completion_sink.ts";
import type { ReadyReplica } from "./forwarding_types.ts";

/** Outcome of one attempt on one replica. */
export type AttemptOutcome =
  | { readonly kind: "finished" }
  /** The replica reported that nothing ran, or no connection was made. */
  | { readonly kind: "not-run"; readonly message: string }
  /** The replica rejected the request as invalid. */
  | {
    readonly kind: "rejected";
    readonly status: number;
    readonly message: string;
  }
  /** The response is incomplete. */
  | { readonly kind: "cut"; readonly message: string }
  /** The response can't be forwarded, whichever replica sends it. */
  | { readonly kind: "undeliverable"; readonly message: string };

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
const END_OF_STREAM = "[DONE]";
const MAX_EVENT_CHARS = 1024 * 1024;
const CALLER_STALL_TIMEOUT_MS = 60_000;

/** Time of a stream's last progress, and the side that it waits for. */
interface Activity {
  atMs: number;
  isAwaitingCaller: boolean;
}

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
          ? relayEvents(response, {
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

interface RelayOptions extends ActiveAttempt {
  readonly settle: (outcome: AttemptOutcome) => void;
  /** Whether nothing more may be written. */
  readonly isInterrupted: () => boolean;
}

/** Forwards a stream; returns what to call once the response is complete. */
function relayEvents(
  response: IncomingMessage,
  options: RelayOptions,
): () => void {
  const { sink, noteActivity } = options;
  const idPrefix = `${options.requestId}:`;
  let ended: AttemptOutcome | undefined;
  const isFinished = () => ended?.kind === "finished";
  const settle = (outcome: AttemptOutcome) => {
    ended ??= outcome;
    options.settle(ended);
    // An engine stops a request whose connection closes.
    if (!isFinished()) response.destroy();
  };
  const parser = createParser({
    maxBufferSize: MAX_EVENT_CHARS,
    onEvent: (event) => {
      ended ??= handleEvent(event, { sink, idPrefix });
    },
    onError: (error) => {
      if (error.type !== "max-buffer-size-exceeded") return;
      ended ??= {
        kind: "undeliverable",
        message: `The replica sent an event over ${MAX_EVENT_CHARS} characters`,
      };
    },
  });
  response.setEncoding("utf8");
  response.on("data", (text: string) => {
    // A connection that has closed emits what was buffered even so.
    if (ended !== undefined || options.isInterrupted()) return;
    noteActivity();
    parser.feed(text);
    // The last tokens are written together with the end of the response.
    if (!isFinished() && !sink.flush()) {
      pauseUntilDrained(response, options);
    }
    if (ended !== undefined) settle(ended);
  });
  return () =>
    settle({
      kind: "cut",
      message: "The replica's response ended without an end of the stream",
    });
}

function pauseUntilDrained(
  response: IncomingMessage,
  { sink, activity, noteActivity }: RelayOptions,
): void {
  if (activity.isAwaitingCaller) return;
  activity.isAwaitingCaller = true;
  response.pause();
  sink.onDrained(() => {
    activity.isAwaitingCaller = false;
    noteActivity();
    response.resume();
  });
}

/** Forwards an event; returns the outcome if the event ends the attempt. */
function handleEvent(
  event: EventSourceMessage,
  stream: { readonly sink: CompletionSink; readonly idPrefix: string },
): AttemptOutcome | undefined {
  const { sink, idPrefix } = stream;
  if (event.data === END_OF_STREAM) {
    return sink.isComplete ? { kind: "finished" } : {
      kind: "cut",
      message: "The replica ended the stream without a finish reason",
    };
  }
  const index = parseEventIndex(event.id, idPrefix);
  if (index === undefined) {
    return {
      kind: "cut",
      message: "The replica sent an error or an event of another request",
    };
  }
  if (index < sink.nextIndex) return undefined;
  switch (sink.accept({ index, data: event.data })) {
    case "accepted":
      return undefined;
    case "out-of-order":
      return { kind: "cut", message: "The replica skipped a token" };
    case "foreign":
      return {
        kind: "cut",
        message: "The replica sent a malformed chunk or one of another request",
      };
    case "too-large":
      return {
        kind: "undeliverable",
        message: "The answer is too large; ask for a stream",
      };
  }
}

/** Position of a token of this request; undefined for any other event. */
function parseEventIndex(
  id: string | undefined,
  prefix: string,
): number | undefined {
  if (id === undefined || !id.startsWith(prefix)) return undefined;
  const digits = id.slice(prefix.length);
  return /^\d{1,9}$/.test(digits) ? Number(digits) : undefined;
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
