import type { IncomingMessage } from "node:http";

/** Bytes that may stand between two requests and mean nothing. */
const EMPTY_LINE = "\r\n";

/**
 * Tells whether an answer came whole, once it has ended.
 *
 * An answer without a length ends with its connection. A reset that arrives
 * together with the last bytes looks like such an end, as the event loop
 * reports both as the end of the stream; only a write fails after a reset.
 */
export function watchResponseEnd(
  response: IncomingMessage,
  onEnd: (isWhole: boolean) => void,
): void {
  if (hasDeclaredEnd(response)) {
    response.on("end", () => onEnd(response.complete));
    return;
  }
  const { socket } = response;
  let isReset: boolean | undefined;
  let hasEnded = false;
  const settle = () => {
    if (hasEnded && isReset !== undefined) {
      onEnd(response.complete && !isReset);
    }
  };
  // Before the listener of Node's client, which ends the socket.
  socket.prependListener("end", () => {
    socket.write(EMPTY_LINE, (error) => {
      isReset = error !== undefined && error !== null;
      settle();
    });
  });
  response.on("end", () => {
    hasEnded = true;
    settle();
  });
}

function hasDeclaredEnd({ headers, statusCode }: IncomingMessage): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined ||
    statusCode === NO_CONTENT || statusCode === NOT_MODIFIED;
}

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
