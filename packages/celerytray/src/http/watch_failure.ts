import type { ClientRequest, IncomingMessage } from "node:http";

/**
 * Calls `onFailure` once if an exchange ends without a complete response, after
 * the `data` events of all bytes of the body that arrived.
 *
 * Node emits an error of the request at once, also while bytes of the body from
 * the same read still wait to be emitted, and also if they complete the
 * response. What follows a complete response is no part of it.
 */
export function watchFailure(
  request: ClientRequest,
  onFailure: (error: Error) => void,
): void {
  let response: IncomingMessage | undefined;
  let cause: Error | undefined;
  const noteError = (error: Error) => cause ??= error;
  request.on("error", (error) => {
    noteError(error);
    if (response === undefined) onFailure(error);
  });
  request.once("response", (received) => {
    response = received;
    received.on("error", noteError);
    received.once("close", () => {
      if (received.complete) return;
      onFailure(cause ?? new Error("The response was truncated"));
    });
  });
}
