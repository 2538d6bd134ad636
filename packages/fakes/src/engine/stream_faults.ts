/** What a stream does at one of its tokens. */
export type StreamFaultKind =
  /** Cuts the connection. */
  | "cut"
  /** Sends nothing more and keeps the connection. */
  | "silence"
  /** Sends the first half of the token's event, then nothing more. */
  | "half-event"
  /** Sends the token's event under another request's id. */
  | "crossed-id"
  /** Sends a chunk of another answer under this request's id. */
  | "crossed-chunk"
  /** Sends the token before it once more. */
  | "duplicate"
  /** Sends the token after it first. */
  | "out-of-order"
  /** Ends the answer as if it were whole. */
  | "early-end"
  /** Closes the answer without an end marker. */
  | "close"
  /** Sends an error object. */
  | "error"
  /** Sends an event of more than a mebibyte. */
  | "oversized";

/** A fault of an engine's streams. */
export interface StreamFault {
  readonly kind: StreamFaultKind;
  /** Index of the token at which it happens. */
  readonly atToken: number;
  /** How many streams have it; every one if absent. */
  streamsLeft?: number;
}

/** A token's event as the engine would send it. */
export interface TokenEvents {
  readonly requestId: string;
  readonly index: number;
  readonly createChunk: (index: number, id: string) => string;
}

/** What to send at a faulty token, and whether the stream goes on. */
export interface FaultyStep {
  readonly text: string;
  readonly then: "continue" | "cut" | "end" | "silence";
}

const FOREIGN_REQUEST_ID = "req-of-another-caller";
const OVERSIZED_CHARS = 2 * 1024 * 1024;

/** Works out what a faulty token sends. */
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
        text: event.replaceAll(requestId, FOREIGN_REQUEST_ID),
        then: "continue",
      };
    case "crossed-chunk":
      return {
        text: `id: ${requestId}:${index}\ndata: ${
          token.createChunk(index, FOREIGN_REQUEST_ID)
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

/** Formats a token as a server-sent event. */
export function formatEvent(token: TokenEvents, index: number): string {
  const { requestId, createChunk } = token;
  return `id: ${requestId}:${index}\ndata: ${
    createChunk(index, requestId)
  }\n\n`;
}
