import { Clock, Effect } from "effect";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import { type IncomingMessage, request as httpRequest } from "node:http";
import { type BackendPools, parseAddress } from "../http/index.ts";
import type { CompletionSink } from "./completion_sink.ts";
import type { ReadyReplica } from "./forwarding_types.ts";

/** How one attempt on one replica ended. */
export type AttemptOutcome =
  | { readonly kind: "finished" }
  /** The replica said, or it is sure, that nothing ran. */
  | { readonly kind: "not-run"; readonly message: string }
  /** The replica turned the request itself down. */
  | {
    readonly kind: "rejected";
    readonly status: number;
    readonly message: string;
  }
  /** The answer stopped short. */
  | { readonly kind: "cut"; readonly message: string }
  /** The answer can't be passed on, whichever replica gives it. */
  | { readonly kind: "undeliverable"; readonly message: string };

/** Options of an attempt. */
export interface StreamAttemptOptions {
  readonly requestId: string;
  readonly replica: ReadyReplica;
  /** JSON body for the engine. */
  readonly body: string;
  readonly sink: CompletionSink;
  readonly pools: BackendPools;
  /** Silence after which the connection counts as dead. */
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

/** When a stream last moved, and which side is waited for. */
interface Activity {
  atMs: number;
  isCallerAwaited: boolean;
}

/**
 * Sends a request to a replica and passes its tokens to the sink, from the
 * first one the sink lacks. Interruption cancels the request at the engine.
 */
export function runStreamAttempt(
  options: StreamAttemptOptions,
): Effect.Effect<AttemptOutcome> {
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const activity: Activity = {
      atMs: clock.currentTimeMillisUnsafe(),
      isCallerAwaited: false,
    };
    const touch = () => {
      activity.atMs = clock.currentTimeMillisUnsafe();
    };
    return yield* Effect.raceFirst(
      exchange({ ...options, activity, touch }),
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
      const limitMs = activity.isCallerAwaited
        ? CALLER_STALL_TIMEOUT_MS
        : options.idleTimeoutMs;
      const remainingMs = activity.atMs + limitMs - nowMs;
      if (remainingMs <= 0) return describeSilence(activity, options);
      yield* Effect.sleep(remainingMs);
    }
  });
}

function describeSilence(
  activity: Activity,
  options: StreamAttemptOptions,
): AttemptOutcome {
  if (activity.isCallerAwaited) {
    return {
      kind: "undeliverable",
      message: `The caller took nothing for ${CALLER_STALL_TIMEOUT_MS} ms`,
    };
  }
  options.pools.discard(options.replica.headAddress);
  return {
    kind: "cut",
    message: `The connection was silent for ${options.idleTimeoutMs} ms`,
  };
}

interface Exchange extends StreamAttemptOptions {
  readonly activity: Activity;
  readonly touch: () => void;
}

function exchange(options: Exchange): Effect.Effect<AttemptOutcome> {
  const { replica, touch } = options;
  return Effect.callback<AttemptOutcome>((resume) => {
    const settle = (outcome: AttemptOutcome) => resume(Effect.succeed(outcome));
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
        touch();
      };
      if (socket.connecting) socket.once("connect", onConnect);
      else onConnect();
    });
    request.on("error", (error) =>
      settle({
        kind: connected ? "cut" : "not-run",
        message: `Call to the replica failed: ${error.message}`,
      }));
    request.on("response", (response) => {
      touch();
      if (response.statusCode === 200) {
        relayEvents(response, { ...options, settle });
      } else {
        readRefusal(response, settle);
      }
    });
    request.end(options.body);
    return Effect.sync(() => request.destroy());
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

interface RelayOptions extends Exchange {
  readonly settle: (outcome: AttemptOutcome) => void;
}

function relayEvents(response: IncomingMessage, options: RelayOptions): void {
  const { sink, touch } = options;
  const idPrefix = `${options.requestId}:`;
  let ended: AttemptOutcome | undefined;
  const isFinished = () => ended?.kind === "finished";
  const settle = (outcome: AttemptOutcome) => {
    ended ??= outcome;
    options.settle(ended);
  };
  const parser = createParser({
    maxBufferSize: MAX_EVENT_CHARS,
    onEvent: (event) => {
      ended ??= takeEvent(event, { sink, idPrefix });
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
    if (ended !== undefined) return;
    touch();
    parser.feed(text);
    // The end of an answer is written with its last tokens.
    if (!isFinished() && !sink.flush()) {
      pauseUntilDrained(response, options);
    }
    if (ended !== undefined) settle(ended);
  });
  const onCut = () =>
    settle({ kind: "cut", message: "The replica's answer stopped short" });
  response.on("error", onCut);
  response.on("close", onCut);
}

function pauseUntilDrained(
  response: IncomingMessage,
  { sink, activity, touch }: RelayOptions,
): void {
  if (activity.isCallerAwaited) return;
  activity.isCallerAwaited = true;
  response.pause();
  sink.onDrained(() => {
    activity.isCallerAwaited = false;
    touch();
    response.resume();
  });
}

/** Passes an event on; says how the attempt ended if it did. */
function takeEvent(
  event: EventSourceMessage,
  stream: { readonly sink: CompletionSink; readonly idPrefix: string },
): AttemptOutcome | undefined {
  const { sink, idPrefix } = stream;
  if (event.data === END_OF_STREAM) {
    return sink.isComplete
      ? { kind: "finished" }
      : { kind: "cut", message: "The replica ended an unfinished answer" };
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
      return { kind: "cut", message: "The replica left a token out" };
    case "foreign":
      return {
        kind: "cut",
        message: "The replica sent a chunk of another answer",
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

function readRefusal(
  response: IncomingMessage,
  settle: (outcome: AttemptOutcome) => void,
): void {
  const status = response.statusCode ?? SERVER_ERROR_STATUS;
  let text = "";
  response.setEncoding("utf8");
  response.on("data", (part: string) => {
    if (text.length < MAX_ERROR_BYTES) text += part;
  });
  const finish = () => settle(classifyRefusal(status, text));
  response.on("end", finish);
  response.on("error", finish);
}

function classifyRefusal(status: number, text: string): AttemptOutcome {
  const message = `The replica answered ${status}: ${text.slice(0, 200)}`;
  const isNotRun = status === CONFLICT_STATUS ||
    status === TOO_MANY_REQUESTS_STATUS || status === UNAVAILABLE_STATUS;
  if (isNotRun) return { kind: "not-run", message };
  if (status >= SERVER_ERROR_STATUS) return { kind: "cut", message };
  return { kind: "rejected", status, message };
}
