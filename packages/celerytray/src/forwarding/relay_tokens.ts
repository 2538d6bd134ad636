import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { IncomingMessage } from "node:http";
import type { CompletionSink } from "./completion_sink.ts";
import type { AttemptOutcome } from "./stream_outcome.ts";

const END_OF_STREAM = "[DONE]";
const MAX_EVENT_CHARS = 1024 * 1024;

/** Time of a stream's last progress, and the side that it waits for. */
export interface Activity {
  atMs: number;
  isAwaitingCaller: boolean;
}

/** Where a response's tokens go, and who is told of their end. */
export interface RelayTokensOptions {
  readonly requestId: string;
  readonly sink: CompletionSink;
  readonly activity: Activity;
  readonly noteActivity: () => void;
  readonly settle: (outcome: AttemptOutcome) => void;
  /** Whether nothing more may be written. */
  readonly isInterrupted: () => boolean;
}

/**
 * Forwards the tokens of a response; returns what to call once it is complete.
 */
export function relayTokens(
  response: IncomingMessage,
  options: RelayTokensOptions,
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
  { sink, activity, noteActivity }: RelayTokensOptions,
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
