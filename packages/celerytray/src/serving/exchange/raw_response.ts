import { HEADER_NAMES } from "../../platform/words.ts";

/** Ends a response that is sent in chunks. */
export const LAST_CHUNK = "0\r\n\r\n";

/**
 * Creates the bytes of a successful response's status line and headers, up to
 * the given further header lines. Tests write them to a socket directly.
 */
export function createRawHead(request: Buffer, fields = ""): string {
  const id = readRawHeader(request, HEADER_NAMES.callId);
  return `HTTP/1.1 200 OK\r\n${HEADER_NAMES.callId}: ${id}\r\n` +
    `${HEADER_NAMES.stamp}: s\r\n${fields}`;
}

/** Creates the head of an event stream that is sent in chunks. */
export function createRawStreamHead(request: Buffer): string {
  return createRawHead(request, "Content-Type: text/event-stream\r\n") +
    "Transfer-Encoding: chunked\r\n\r\n";
}

/** Creates a complete response with the body `done`. */
export function createRawResponse(request: Buffer): string {
  return createRawHead(request, "Content-Length: 4\r\n\r\ndone");
}

export function createRawChunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/** Reads a header of a request; undefined without it. */
export function readRawHeader(
  request: Buffer,
  name: string,
): string | undefined {
  return new RegExp(`^${name}: (\\S+)`, "im").exec(request.toString())?.[1];
}
