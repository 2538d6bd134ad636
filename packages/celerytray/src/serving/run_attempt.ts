import { Effect } from "effect";
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
} from "node:http";
import { discardBody, parseAddress, watchEnd } from "../http/index.ts";
import type { AnswerHead, CallCodec } from "./call.ts";
import { EventSplitter, type StreamEvent } from "./event_splitter.ts";
import type { AbandonReason } from "./stall_watch.ts";

/** What became of one attempt. */
export type AttemptOutcome =
  /** The request did not run and never will there. */
  | {
    readonly kind: "not-run";
    readonly message: string;
    /** Whether the instance itself turned it away. */
    readonly isTurnedAway: boolean;
    /** Whether it was not sent, as the caller or its time was gone. */
    readonly isWithheld?: boolean;
  }
  /** It may have run; no whole answer came. */
  | {
    readonly kind: "lost";
    readonly message: string;
    /** Whether a connection kept open from before ended without an answer. */
    readonly isStale: boolean;
    /** Why it was ended from here; undefined where it ended otherwise. */
    readonly abandoned?: AbandonReason;
  }
  | {
    readonly kind: "answered";
    readonly head: AnswerHead;
    readonly body: Buffer;
  }
  /** A whole stream was handed on. */
  | { readonly kind: "streamed" };

/** One attempt at one instance. */
export interface AttemptOptions {
  readonly codec: CallCodec;
  readonly address: string;
  readonly method: string;
  readonly target: string;
  /** Names and values by turns. */
  readonly headers: string[];
  readonly body: Buffer;
  readonly callId: string;
  /** Pool to use; a fresh connection without one. */
  readonly agent: Agent | undefined;
  /** Last event that the caller has. */
  readonly lastEventId?: number;
  /** Called with an answer that is a stream, before its events. */
  readonly onStreamHead: (head: AnswerHead) => void;
  readonly onEvent: (event: StreamEvent) => void;
  /** Called with the head of any answer to this request. */
  readonly onHead: (head: AnswerHead) => void;
  /** Called as the answer goes on: with its head, and each whole event. */
  readonly onProgress: () => void;
  /** Whether it is still to be sent, once there is a connection. */
  readonly maySend: () => boolean;
  /** Called before the first byte of the request is written. */
  readonly onSent: () => void;
  /** Receives a function that ends the attempt. */
  readonly onAbandonable: (abandon: (reason: AbandonReason) => void) => void;
}

/** Longest answer that isn't a stream. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;
/** Longest event of a stream. */
const MAX_EVENT_BYTES = 1024 * 1024;
/** Bytes of all answers together that may wait for their end. */
const MAX_WAITING_BYTES = 32 * 1024 * 1024;
/** Body of an answer that turns a request away, which nobody needs. */
const MAX_DROPPED_BYTES = 64 * 1024;
const MAX_DROPPING_MS = 1_000;
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

interface AnswerReading {
  readonly options: AttemptOptions;
  readonly request: ClientRequest;
  readonly settle: (outcome: AttemptOutcome) => void;
  readonly fail: (message: string) => void;
}

function readAnswer(response: IncomingMessage, reading: AnswerReading): void {
  const { options, request } = reading;
  const head = options.codec.decodeAnswer(response);
  const reject = (message: string) => {
    reading.fail(message);
    request.destroy();
  };
  response.on("error", (error) => reading.fail(error.message));
  response.on("close", () => reading.fail("The answer was cut off"));
  // What is left from before on a connection in use again may bear no id.
  const isOwn = head.callId === undefined
    ? !request.reusedSocket
    : head.callId === options.callId;
  if (!isOwn) {
    reject("The instance answered another request");
    return;
  }
  options.onProgress();
  options.onHead(head);
  if (head.isNotRun) {
    dropBody(response);
    reading.settle({
      kind: "not-run",
      message: `The instance turned the request away with ${head.status}`,
      isTurnedAway: true,
    });
    return;
  }
  const isSuccess = head.status >= 200 && head.status < 300;
  if (isSuccess && !head.isStamped) {
    reject("The answer doesn't come from the instance");
  } else if (isSuccess && head.isEncoded) {
    reject("The answer is encoded, though none was asked for");
  } else if (isSuccess && head.isEventStream) {
    relayStream(response, { ...reading, head, reject });
  } else {
    collectBody(response, { ...reading, head, reject });
  }
}

/** Reads a body that nobody needs, and cuts one that is long or slow. */
function dropBody(response: IncomingMessage): void {
  discardBody(response, { maxBytes: MAX_DROPPED_BYTES });
  const timer = setTimeout(() => response.destroy(), MAX_DROPPING_MS);
  response.on("close", () => clearTimeout(timer));
}

interface BodyReading extends AnswerReading {
  readonly head: AnswerHead;
  readonly reject: (message: string) => void;
}

function relayStream(response: IncomingMessage, reading: BodyReading): void {
  const { options, reject } = reading;
  const splitter = new EventSplitter();
  let lastId = options.lastEventId;
  options.onStreamHead(reading.head);
  response.on("data", (chunk: Buffer) => {
    const events = splitter.push(chunk);
    // Bytes that never make an event are no progress.
    if (events.length > 0) options.onProgress();
    for (const event of events) {
      if (event.id !== undefined) {
        if (lastId !== undefined && event.id !== lastId + 1) {
          reject(`Event ${event.id} follows event ${lastId}`);
          return;
        }
        lastId = event.id;
      }
      options.onEvent(event);
    }
    if (splitter.pendingBytes > MAX_EVENT_BYTES) {
      reject(`An event exceeds ${MAX_EVENT_BYTES} bytes`);
    }
  });
  watchEnd(response, (isWhole) => {
    if (!isWhole || splitter.pendingBytes > 0) {
      reject("The stream ended inside an event");
    } else {
      reading.settle({ kind: "streamed" });
    }
  });
}

/** Bytes of answers that wait for their end, over all attempts. */
let waitingBytes = 0;

function collectBody(response: IncomingMessage, reading: BodyReading): void {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  response.on("data", (chunk: Buffer) => {
    receivedBytes += chunk.length;
    waitingBytes += chunk.length;
    chunks.push(chunk);
    if (receivedBytes > MAX_ANSWER_BYTES) {
      reading.reject(`The answer exceeds ${MAX_ANSWER_BYTES} bytes`);
    } else if (waitingBytes > MAX_WAITING_BYTES) {
      reading.reject("Too many long answers come at once");
    }
  });
  response.on("close", () => {
    waitingBytes -= receivedBytes;
    chunks.length = 0;
  });
  watchEnd(response, (isWhole) => {
    if (!isWhole) reading.reject("The answer was cut off");
    else {
      reading.settle({
        kind: "answered",
        head: reading.head,
        body: Buffer.concat(chunks),
      });
    }
  });
}
