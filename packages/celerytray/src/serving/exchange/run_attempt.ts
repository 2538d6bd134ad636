import { Effect } from "effect";
import { request as httpRequest } from "node:http";
import { parseAddress, watchExchange, watchFraming } from "../../http/index.ts";
import type { AttemptOptions, AttemptOutcome } from "./attempt_options.ts";
import { readResponse } from "./read_response.ts";
import type { AbandonReason } from "../stall_detector.ts";

/** Limit on interim (1xx) responses to one request. */
const MAX_INTERIM_RESPONSES = 8;
/** Nothing of the request is sent before the connection is established. */
const CONNECT_TIMEOUT_MS = 300;
/** Error codes of a connection that the peer closed while it was idle. */
const STALE_CONNECTION_CODES: ReadonlySet<string> = new Set([
  "ECONNRESET",
  "EPIPE",
]);

const ABANDON_MESSAGES: Readonly<Record<AbandonReason, string>> = {
  stalled: "The replica stands still",
  slow: "The replica is slow",
  closing: "The replica is being dissolved",
};

/** Why this process ended an attempt, if it did. */
interface FailureOptions {
  readonly abandonReason?: AbandonReason;
  /** Whether it got a response that it can't pass on. */
  readonly isFaulty?: boolean;
}

/** Sends a request to one instance; interruption closes the connection. */
export function runAttempt(
  options: AttemptOptions,
): Effect.Effect<AttemptOutcome> {
  return Effect.callback<AttemptOutcome>((resume) => {
    let isSent = false;
    /** Bytes that the connection had brought before this request. */
    let earlierBytes = 0;
    let isReset = false;
    let isSettled = false;
    const settle = (outcome: AttemptOutcome) => {
      if (isSettled) return;
      isSettled = true;
      options.onEnd();
      resume(Effect.succeed(outcome));
    };
    const fail = (
      message: string,
      { abandonReason, isFaulty = false }: FailureOptions = {},
    ) =>
      settle(
        isSent
          ? {
            kind: "lost",
            message,
            isFaulty,
            isStaleConnection: request.reusedSocket && isReset &&
              request.socket?.bytesRead === earlierBytes,
            ...(abandonReason === undefined ? {} : { abandonReason }),
          }
          : { kind: "not-run", message, isRejected: false },
      );
    const request = httpRequest({
      ...parseAddress(options.address),
      method: options.method,
      path: options.target,
      agent: options.agent ?? false,
      headers: options.headers,
    });
    const failUnconnected = () => {
      if (isSent) return;
      fail(`Connection not established within ${CONNECT_TIMEOUT_MS} ms`);
      request.destroy();
    };
    // A lagging process first handles the socket events that are already pending.
    const connectTimer = setTimeout(
      () => setImmediate(failUnconnected),
      CONNECT_TIMEOUT_MS,
    );
    request.on("close", () => clearTimeout(connectTimer));
    const rejectResponse = (message: string) =>
      fail(message, { isFaulty: true });
    watchFraming(request, (message) => {
      rejectResponse(message);
      request.destroy();
    });
    request.on("socket", (socket) => {
      earlierBytes = socket.bytesRead;
      const dispatch = () => {
        if (!options.maySend()) {
          settle({
            kind: "not-run",
            message: "The caller left or the deadline passed before sending",
            isRejected: false,
            isWithheld: true,
          });
          request.destroy();
          return;
        }
        isSent = true;
        options.onSent();
        request.end(options.body.length > 0 ? options.body : undefined);
      };
      if (socket.connecting) socket.once("connect", dispatch);
      else dispatch();
    });
    watchExchange(request, {
      onResponse: (response) =>
        readResponse(response, {
          options,
          request,
          settle,
          fail: rejectResponse,
        }),
      onFailure: (error) => {
        isReset = STALE_CONNECTION_CODES.has(
          (error as NodeJS.ErrnoException).code ?? "",
        );
        fail(error.message);
      },
    });
    let interimResponses = 0;
    request.on("information", () => {
      interimResponses += 1;
      if (interimResponses <= MAX_INTERIM_RESPONSES) return;
      rejectResponse("The instance sent too many interim responses");
      request.destroy();
    });
    options.registerAbandon((reason) => {
      fail(ABANDON_MESSAGES[reason], { abandonReason: reason });
      request.destroy();
    });
    return Effect.sync(() => {
      isSettled = true;
      options.onEnd();
      request.destroy();
    });
  });
}
