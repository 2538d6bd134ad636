import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** Bytes besides the body that any response may have, such as its headers. */
const MAX_EXTRA_BYTES = 256 * 1024;
/** Bytes that each byte of a body may take, if it comes in chunks of one byte. */
const MAX_FRAMING_FACTOR = 16;
const CHECK_INTERVAL_MS = 250;

/**
 * Calls `onExcess` once for a response whose bytes are mostly no body, such as a
 * chunk size that never ends, which the parser reads on and on.
 */
export function watchFraming(
  request: ClientRequest,
  onExcess: (message: string) => void,
): void {
  let socket: Socket | undefined;
  let earlierBytes = 0;
  let bodyBytes = 0;
  request.once("socket", (assigned) => {
    socket = assigned;
    earlierBytes = assigned.bytesRead;
  });
  request.once("response", (response) => {
    response.on("data", (chunk: Buffer) => bodyBytes += chunk.length);
  });
  const timer = setInterval(() => {
    const receivedBytes = (socket?.bytesRead ?? 0) - earlierBytes;
    const maxBytes = MAX_EXTRA_BYTES + MAX_FRAMING_FACTOR * bodyBytes;
    if (receivedBytes <= maxBytes) return;
    clearInterval(timer);
    onExcess(`${receivedBytes} bytes arrived for a body of ${bodyBytes}`);
  }, CHECK_INTERVAL_MS);
  request.once("close", () => clearInterval(timer));
}
