import type { ClientRequest, IncomingMessage } from "node:http";
import { ByteCollector, discardBody } from "../../http/index.ts";
import type { AttemptOptions, AttemptOutcome } from "./attempt_options.ts";
import type { ResponseHeaders } from "../call.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { HeldResponse } from "./held_bytes.ts";

/** Limit on a response that is not a stream. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
/** Limit on one event of a stream. */
const MAX_EVENT_BYTES = 1024 * 1024;
/** Limit on the body of a rejection, which is read and discarded. */
const MAX_DISCARDED_BYTES = 64 * 1024;
const DISCARD_TIMEOUT_MS = 1_000;

/** The state of an attempt whose response is read. */
export interface ResponseReading {
  readonly options: AttemptOptions;
  readonly request: ClientRequest;
  readonly settle: (outcome: AttemptOutcome) => void;
  readonly fail: (message: string) => void;
}

/**
 * Reads a response and settles the attempt at the latest as the returned
 * function is called, which tells that the response is complete.
 */
export function readResponse(
  response: IncomingMessage,
  reading: ResponseReading,
): () => void {
  const { options, request } = reading;
  const headers = options.codec.decodeResponse(response);
  const reject = (message: string) => {
    reading.fail(message);
    request.destroy();
    return ignoreEnd;
  };
  // On a reused connection a response without an id may be a late one to an
  // earlier request.
  const isMatching = headers.callId === undefined
    ? !request.reusedSocket
    : headers.callId === options.callId;
  if (!isMatching) return reject("The response belongs to another request");
  options.onProgress();
  options.onHeaders(headers);
  if (headers.isNotRun && headers.callId === undefined) {
    return reject("The instance rejected a request without naming it");
  }
  if (headers.isNotRun) {
    discardUnusedBody(response);
    reading.settle({
      kind: "not-run",
      message:
        `The instance rejected the request with status ${headers.status}`,
      isRejected: true,
    });
    return ignoreEnd;
  }
  if (headers.status < 200) {
    return reject("The response changes the protocol, which was not requested");
  }
  const isSuccess = headers.status >= 200 && headers.status < 300;
  if (isSuccess && !headers.hasServerStamp) {
    return reject("The response lacks the instance's stamp header");
  }
  if (isSuccess && headers.isEncoded) {
    return reject("The response has a content encoding that was not requested");
  }
  const body: BodyReading = { ...reading, headers, reject };
  return isSuccess && headers.isEventStream
    ? relayStream(response, body)
    : collectBody(response, body);
}

/** The end of a response whose attempt was settled by its headers. */
function ignoreEnd(): void {}

/** Discards a body, and closes the connection if it is too long or slow. */
function discardUnusedBody(response: IncomingMessage): void {
  discardBody(response, { maxBytes: MAX_DISCARDED_BYTES });
  const timer = setTimeout(() => response.destroy(), DISCARD_TIMEOUT_MS);
  response.on("close", () => clearTimeout(timer));
}

interface BodyReading extends ResponseReading {
  readonly headers: ResponseHeaders;
  readonly reject: (message: string) => void;
}

function relayStream(
  response: IncomingMessage,
  reading: BodyReading,
): () => void {
  const { options, reject } = reading;
  const splitter = new EventSplitter();
  let isClosed = false;
  options.onStreamHeaders(reading.headers);
  response.on("data", (chunk: Buffer) => {
    if (isClosed) return;
    let mayContinue = true;
    const events = splitter.push(chunk);
    // Bytes that never complete an event do not count as progress.
    if (events.length > 0) options.onProgress();
    for (const event of events) {
      const result = options.onEvent(event);
      isClosed = result === "closed" || result === "out-of-order";
      if (result === "out-of-order") {
        reject(
          `Event ${event.id} does not follow event ${options.lastEventId()}`,
        );
      }
      if (isClosed) return;
      mayContinue &&= result === "written";
    }
    if (splitter.pendingBytes > MAX_EVENT_BYTES) {
      reject(`An event exceeds ${MAX_EVENT_BYTES} bytes`);
    } else if (!mayContinue) {
      response.pause();
      options.awaitDrain(() => response.resume());
    }
  });
  return () => {
    if (splitter.pendingBytes > 0) reject("The stream was truncated");
    else reading.settle({ kind: "streamed" });
  };
}

function collectBody(
  response: IncomingMessage,
  reading: BodyReading,
): () => void {
  const collected = new ByteCollector();
  const { callId, held } = reading.options;
  const heldResponse: HeldResponse = {
    callId,
    get heldBytes() {
      return collected.capacityBytes;
    },
    cut: () => reading.reject("Buffered responses exceed the memory bound"),
  };
  response.on("data", (chunk: Buffer) => {
    if (collected.bytes + chunk.length > MAX_RESPONSE_BYTES) {
      reading.reject(`The response exceeds ${MAX_RESPONSE_BYTES} bytes`);
    } else {
      collected.add(chunk);
      held.update(heldResponse);
    }
  });
  response.on("close", () => {
    held.forget(heldResponse);
    collected.clear();
  });
  return () =>
    reading.settle({
      kind: "answered",
      headers: reading.headers,
      body: collected.take(),
    });
}
