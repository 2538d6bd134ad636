import { Effect } from "effect";
import { request as httpRequest } from "node:http";
import { parseAddress } from "../http/index.ts";
import type { AttemptOptions, AttemptOutcome } from "./attempt_options.ts";
import { readAnswer } from "./read_answer.ts";
import type { AbandonReason } from "./stall_watch.ts";

/** Interim answers to one request. */
const MAX_INTERIM_ANSWERS = 8;
/** Longest wait for a connection; none of the request was sent by then. */
const MAX_CONNECT_MS = 300;
/** Errors of a connection that its other end dropped while it was idle. */
const STALE_CODES: ReadonlySet<string> = new Set(["ECONNRESET", "EPIPE"]);

const ABANDON_MESSAGES: Readonly<Record<AbandonReason, string>> = {
  stalled: "The replica stands still",
  slow: "The replica is slow",
};

/** Sends a request once; interruption closes the connection. */
export function runAttempt(
  options: AttemptOptions,
): Effect.Effect<AttemptOutcome> {
  return Effect.callback<AttemptOutcome>((resume) => {
    let isSent = false;
    let hasAnswer = false;
    let isReset = false;
    let isSettled = false;
    const settle = (outcome: AttemptOutcome) => {
      if (isSettled) return;
      isSettled = true;
      resume(Effect.succeed(outcome));
    };
    const fail = (message: string, abandoned?: AbandonReason) =>
      settle(
        isSent
          ? {
            kind: "lost",
            message,
            isStale: request.reusedSocket && !hasAnswer && isReset,
            ...(abandoned === undefined ? {} : { abandoned }),
          }
          : { kind: "not-run", message, isTurnedAway: false },
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
      fail(`No connection within ${MAX_CONNECT_MS} ms`);
      request.destroy();
    };
    // A process that is behind reads first what came meanwhile.
    const connectTimer = setTimeout(
      () => setImmediate(failUnconnected),
      MAX_CONNECT_MS,
    );
    request.on("close", () => clearTimeout(connectTimer));
    request.on("socket", (socket) => {
      const dispatch = () => {
        if (!options.maySend()) {
          settle({
            kind: "not-run",
            message: "The request was no longer wanted",
            isTurnedAway: false,
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
    request.on("error", (error) => {
      isReset = STALE_CODES.has((error as NodeJS.ErrnoException).code ?? "");
      fail(error.message);
    });
    let interimAnswers = 0;
    request.on("information", () => {
      interimAnswers += 1;
      if (interimAnswers <= MAX_INTERIM_ANSWERS) return;
      fail("The instance sends interim answers without end");
      request.destroy();
    });
    request.on("response", (response) => {
      hasAnswer = true;
      readAnswer(response, { options, request, settle, fail });
    });
    options.onAbandonable((reason) => {
      fail(ABANDON_MESSAGES[reason], reason);
      request.destroy();
    });
    return Effect.sync(() => {
      isSettled = true;
      request.destroy();
    });
  });
}
