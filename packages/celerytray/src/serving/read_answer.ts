import type { ClientRequest, IncomingMessage } from "node:http";
import { discardBody, watchEnd } from "../http/index.ts";
import type { AttemptOptions, AttemptOutcome } from "./attempt_options.ts";
import type { ResponseHeaders } from "./call.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { AnswerHolder } from "./held_bytes.ts";

/** Longest answer that isn't a stream. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;
/** Longest event of a stream. */
const MAX_EVENT_BYTES = 1024 * 1024;
/** Body of an answer that turns a request away, which nobody needs. */
const MAX_DROPPED_BYTES = 64 * 1024;
const MAX_DROPPING_MS = 1_000;

/** An answer that an attempt reads. */
export interface AnswerReading {
  readonly options: AttemptOptions;
  readonly request: ClientRequest;
  readonly settle: (outcome: AttemptOutcome) => void;
  readonly fail: (message: string) => void;
}

/** Reads an answer to its end. */
export function readAnswer(
  response: IncomingMessage,
  reading: AnswerReading,
): void {
  const { options, request } = reading;
  const head = options.codec.decodeResponse(response);
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
  if (isSuccess && !head.hasServerStamp) {
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
  readonly head: ResponseHeaders;
  readonly reject: (message: string) => void;
}

function relayStream(response: IncomingMessage, reading: BodyReading): void {
  const { options, reject } = reading;
  const splitter = new EventSplitter();
  let lastId = options.lastEventId;
  options.onStreamHead(reading.head);
  response.on("data", (chunk: Buffer) => {
    let keepsUp = true;
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
      keepsUp = options.onEvent(event) && keepsUp;
    }
    if (splitter.pendingBytes > MAX_EVENT_BYTES) {
      reject(`An event exceeds ${MAX_EVENT_BYTES} bytes`);
    } else if (!keepsUp) {
      response.pause();
      options.awaitReceiver(() => response.resume());
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

function collectBody(response: IncomingMessage, reading: BodyReading): void {
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  const { callId, held } = reading.options;
  const holder: AnswerHolder = {
    callId,
    get heldBytes() {
      return receivedBytes;
    },
    cut: () => reading.reject("Too many long answers come at once"),
  };
  response.on("data", (chunk: Buffer) => {
    receivedBytes += chunk.length;
    chunks.push(chunk);
    if (receivedBytes > MAX_ANSWER_BYTES) {
      reading.reject(`The answer exceeds ${MAX_ANSWER_BYTES} bytes`);
    } else {
      held.note(holder);
    }
  });
  response.on("close", () => {
    held.forget(holder);
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
