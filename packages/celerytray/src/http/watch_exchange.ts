import type { ClientRequest, IncomingMessage } from "node:http";
import { watchResponseEnd } from "./watch_response_end.ts";

/** Is told how an exchange ends. */
export interface ExchangeListener {
  /**
   * Called with the response before its data. Returns what to call once it is
   * complete and its data were emitted.
   */
  readonly onResponse: (response: IncomingMessage) => () => void;
  /** Called if the exchange ends without a complete response. */
  readonly onFailure: (error: Error) => void;
}

/**
 * Watches how an exchange ends, and tells it once, after the `data` events of
 * all bytes of the body that arrived.
 *
 * A listener that destroys the request or response itself settles before: what
 * it is told then may be either.
 *
 * Node emits an error of the request at once, also while bytes of the body from
 * the same read still wait to be emitted, and also if they complete the
 * response. What follows a complete response is no part of it.
 */
export function watchExchange(
  request: ClientRequest,
  { onResponse, onFailure }: ExchangeListener,
): void {
  let hasResponse = false;
  let hasEnded = false;
  let cause: Error | undefined;
  const noteError = (error: Error) => {
    cause ??= error;
  };
  const end = (tell: () => void) => {
    if (hasEnded) return;
    hasEnded = true;
    tell();
  };
  const fail = (message: string) =>
    end(() => onFailure(cause ?? new Error(message)));
  const failWithoutResponse = () => {
    if (!hasResponse) fail("The connection closed before a response");
  };
  request.on("error", (error) => {
    noteError(error);
    failWithoutResponse();
  });
  request.once("close", failWithoutResponse);
  request.once("response", (response) => {
    hasResponse = true;
    const onComplete = onResponse(response);
    response.on("error", noteError);
    watchResponseEnd(response, (isComplete) => {
      if (isComplete) end(onComplete);
      else fail("The response was truncated");
    });
    response.once("close", () => {
      const hasWholeBody = response.complete && response.readableEnded;
      if (!hasWholeBody) fail("The response was truncated");
    });
  });
}
