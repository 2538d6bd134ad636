import type { IncomingMessage } from "node:http";

/** An empty line, which servers ignore between two requests. */
const EMPTY_LINE = "\r\n";

/**
 * Calls back when a response has ended, with whether it is complete.
 *
 * A response without a declared length ends with its connection. A reset that
 * arrives together with the last bytes looks the same, as the event loop
 * reports both as the end of the stream. Only a write reveals the reset: it
 * fails. A response that ends though its connection hasn't ended has no body,
 * or its connection failed.
 */
export function watchResponseEnd(
  response: IncomingMessage,
  onEnd: (isComplete: boolean) => void,
): void {
  if (hasDeclaredEnd(response)) {
    response.on("end", () => onEnd(response.complete));
    return;
  }
  const { socket } = response;
  let hasConnectionEnded = false;
  let isReset: boolean | undefined;
  let hasEnded = false;
  const settle = () => {
    if (hasEnded && isReset !== undefined) {
      onEnd(response.complete && !isReset);
    }
  };
  // Must run before the listener of Node's client, which ends the socket.
  socket.prependListener("end", () => {
    hasConnectionEnded = true;
    socket.write(EMPTY_LINE, (error) => {
      isReset = error !== undefined && error !== null;
      settle();
    });
  });
  response.on("end", () => {
    hasEnded = true;
    if (hasConnectionEnded) settle();
    else onEnd(response.complete && socket.errored === null);
  });
}

/**
 * Whether the end of a response is declared, so that truncation shows. Of the
 * transfer codings only `chunked` declares it, as the last one.
 */
export function hasDeclaredEnd(
  { headers, statusCode = 0 }: IncomingMessage,
): boolean {
  return headers["content-length"] !== undefined ||
    CHUNKED_LAST.test(headers["transfer-encoding"] ?? "") ||
    BODILESS_STATUSES.includes(statusCode);
}

const CHUNKED_LAST = /(?:^|,)\s*chunked\s*$/i;
const BODILESS_STATUSES = [204, 304];
