/** Faults of a stream at one of its tokens. */
export type StreamFaultKind =
  /** Closes the connection abruptly. */
  | "cut"
  /** Sends nothing more and keeps the connection open. */
  | "silence"
  /** Sends the first half of the token's event, then nothing more. */
  | "half-event"
  /** Sends the token's event under another request's id. */
  | "crossed-id"
  /** Sends a chunk of another answer under this request's id. */
  | "crossed-chunk"
  /** Sends the previous token's event again before this one. */
  | "duplicate"
  /** Sends the next token's event before this one. */
  | "out-of-order"
  /** Ends the response with the end marker although tokens are missing. */
  | "early-end"
  /** Ends the response without the end marker. */
  | "close"
  /** Sends an error object and ends the response. */
  | "error"
  /** Sends an unfinished event of more than 1 MiB. */
  | "oversized";

/** A fault of an engine's streams, and when it occurs. */
export interface StreamFault {
  readonly kind: StreamFaultKind;
  /** Index of the token at which it occurs. */
  readonly atToken: number;
  /** Number of streams that still get it; all if absent. */
  streamsLeft?: number;
}

/** What is needed to encode the events of a stream. */
export interface TokenEvents {
  readonly requestId: string;
  readonly index: number;
  readonly createChunk: (index: number, id: string) => string;
}

/** The text to send at a faulty token, and how the stream continues. */
export interface FaultyStep {
  readonly text: string;
  readonly then: "continue" | "cut" | "end" | "silence";
}

const FOREIGN_REQUEST_ID = "req-of-another-caller";
const OVERSIZED_CHARS = 2 * 1024 * 1024;

/** Returns what to send at a faulty token. */
export function createFaultyStep(
  kind: StreamFaultKind,
  token: TokenEvents,
): FaultyStep {
  const { requestId, index } = token;
  const event = formatEvent(token, index);
  switch (kind) {
    case "cut":
      return { text: "", then: "cut" };
    case "silence":
      return { text: "", then: "silence" };
    case "half-event":
      return { text: event.slice(0, event.length / 2), then: "silence" };
    case "crossed-id":
      return {
        text: `id: ${FOREIGN_REQUEST_ID}:${index}\ndata: ${
          createForeignChunk(token)
        }\n\n`.replace(`"id":"${FOREIGN_REQUEST_ID}",`, ""),
        then: "continue",
      };
    case "crossed-chunk":
      return {
        text: `id: ${requestId}:${index}\ndata: ${
          createForeignChunk(token)
        }\n\n`,
        then: "continue",
      };
    case "duplicate":
      return {
        text: index === 0
          ? event + event
          : formatEvent(token, index - 1) + event,
        then: "continue",
      };
    case "out-of-order":
      return {
        text: formatEvent(token, index + 1) + event,
        then: "continue",
      };
    case "early-end":
      return { text: "data: [DONE]\n\n", then: "end" };
    case "close":
      return { text: "", then: "end" };
    case "error":
      return {
        text: 'data: {"error":{"message":"Out of memory"}}\n\n',
        then: "end",
      };
    case "oversized":
      return {
        text: `id: ${requestId}:${index}\ndata: ${"x".repeat(OVERSIZED_CHARS)}`,
        then: "silence",
      };
  }
}

function createForeignChunk(token: TokenEvents): string {
  return token.createChunk(token.index, FOREIGN_REQUEST_ID)
    .replace(/"content":"[^"]*"/, '"content":"of-another "');
}

/** Formats a token as a server-sent event. */
export function formatEvent(token: TokenEvents, index: number): string {
  const { requestId, createChunk } = token;
  return `id: ${requestId}:${index}\ndata: ${
    createChunk(index, requestId)
  }\n\n`;
}
