import { Clock, Effect } from "effect";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import {
  type Agent,
  type IncomingMessage,
  request as httpRequest,
} from "node:http";
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
  | { readonly kind: "cut"; readonly message: string };

/** Options of an attempt. */
export interface StreamAttemptOptions {
  readonly requestId: string;
  readonly replica: ReadyReplica;
  /** JSON body for the engine. */
  readonly body: string;
  readonly sink: CompletionSink;
  readonly agent: Agent;
  /** Silence after which the connection counts as dead. */
  readonly idleTimeoutMs: number;
}

const SERVER_ERROR_STATUS = 500;
const CONFLICT_STATUS = 409;
const TOO_MANY_REQUESTS_STATUS = 429;
const UNAVAILABLE_STATUS = 503;
const MAX_ERROR_BYTES = 64 * 1024;
const END_OF_STREAM = "[DONE]";

/**
 * Sends a request to a replica and passes its tokens to the sink, from the
 * first one the sink lacks. Interruption cancels the request at the engine.
 */
export function runStreamAttempt(
  options: StreamAttemptOptions,
): Effect.Effect<AttemptOutcome> {
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const activity = { atMs: clock.currentTimeMillisUnsafe() };
    const touch = () => {
      activity.atMs = clock.currentTimeMillisUnsafe();
    };
    return yield* Effect.raceFirst(
      exchange(options, touch),
      watchIdle(activity, options.idleTimeoutMs),
    );
  });
}

function watchIdle(
  activity: { readonly atMs: number },
  idleTimeoutMs: number,
): Effect.Effect<AttemptOutcome> {
  return Effect.gen(function* () {
    while (true) {
      const nowMs = yield* Clock.currentTimeMillis;
      const remainingMs = activity.atMs + idleTimeoutMs - nowMs;
      if (remainingMs <= 0) {
        return {
          kind: "cut",
          message: `The connection was silent for ${idleTimeoutMs} ms`,
        };
      }
      yield* Effect.sleep(remainingMs);
    }
  });
}

function exchange(
  options: StreamAttemptOptions,
  touch: () => void,
): Effect.Effect<AttemptOutcome> {
  return Effect.callback<AttemptOutcome>((resume) => {
    const settle = (outcome: AttemptOutcome) => resume(Effect.succeed(outcome));
    const request = httpRequest(
      `http://${options.replica.leaderAddress}/v1/chat/completions`,
      {
        method: "POST",
        agent: options.agent,
        headers: createAttemptHeaders(options),
      },
    );
    let connected = false;
    request.on("socket", (socket) => {
      connected = !socket.connecting;
      socket.once("connect", () => {
        connected = true;
        touch();
      });
    });
    request.on("error", (error) =>
      settle({
        kind: connected ? "cut" : "not-run",
        message: `Call to the replica failed: ${error.message}`,
      }));
    request.on("response", (response) => {
      touch();
      if (response.statusCode === 200) {
        relayEvents(response, { ...options, touch, settle });
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

interface RelayOptions extends StreamAttemptOptions {
  readonly touch: () => void;
  readonly settle: (outcome: AttemptOutcome) => void;
}

function relayEvents(response: IncomingMessage, options: RelayOptions): void {
  const { sink, touch, settle } = options;
  let isDone = false;
  let fault: string | undefined;
  const onEvent = (event: EventSourceMessage) => {
    if (isDone || fault !== undefined) return;
    if (event.data === END_OF_STREAM) isDone = true;
    else fault = takeEvent(event, options);
  };
  const parser = createParser({ onEvent });
  response.setEncoding("utf8");
  response.on("data", (text: string) => {
    touch();
    parser.feed(text);
    if (!sink.flush()) {
      response.pause();
      sink.onDrained(() => {
        touch();
        response.resume();
      });
    }
    if (fault !== undefined) settle({ kind: "cut", message: fault });
    else if (isDone) settle({ kind: "finished" });
  });
  const onCut = () =>
    settle({ kind: "cut", message: "The replica's answer stopped short" });
  response.on("error", onCut);
  response.on("close", onCut);
}

/** Passes an event on; says what is wrong with one of another answer. */
function takeEvent(
  event: EventSourceMessage,
  options: RelayOptions,
): string | undefined {
  const separator = event.id?.lastIndexOf(":") ?? -1;
  const requestId = event.id?.slice(0, separator);
  if (separator < 0 || requestId !== options.requestId) {
    return "The replica sent an event of another request";
  }
  const index = Number(event.id?.slice(separator + 1));
  if (index < options.sink.nextIndex) return undefined;
  const isNext = options.sink.accept({ index, data: event.data });
  return isNext ? undefined : "The replica left a token out";
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
