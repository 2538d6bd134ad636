import { expect } from "earl";
import type { RequestListener } from "node:http";
import { describe, it } from "node:test";
import type { ServingTarget } from "./choose_target.ts";
import { StallDetector } from "./stall_detector.ts";
import {
  call,
  idOf,
  readNowMs,
  startBackend,
  startEntry,
} from "./test_entry.ts";

const LAST_EVENT_ID = 6;
/** Time after which the first events have been passed on. */
const SENDING_MS = 30;
/** Time between two events, after which a stream counts as harmless. */
const EVENT_PAUSE_MS = 120;

// Guards against a stream that is broken off, although a replica could go on,
// because orders and moves of our own have used up its attempts (LOST). The
// test's routes allow two.
describe("a stream on a route with two attempts", () => {
  it("is resumed after both its replicas were closed", async () => {
    const backends: ServingTarget[] = [];
    const closed = [
      await startBackend(respondTwoAndEnd),
      await startBackend(respondTwoAndEnd),
    ];
    backends.push(...closed);
    const closedIds = closed.map(({ instanceId }) => instanceId);
    const entry = await startEntry({
      backends,
      trySpend: () => true,
      isClosing: (headId) => closedIds.includes(headId),
    });
    const answer = call(entry, "/stream/x");
    setTimeout(async () => backends.push(await startBackend(respondRest)), 10);
    expectWhole(await answer);
  });

  it("is resumed after a move from a closing replica to one that ends", async () => {
    const stalls = new StallDetector();
    const backends = [
      await startBackend((incoming, response) => {
        response.writeHead(200, createHeaders(idOf(incoming)));
        response.write(events(0, 0));
      }),
    ];
    const [closing] = backends;
    const entry = await startEntry({ backends, trySpend: () => true, stalls });
    const answer = call(entry, "/stream/x");
    setTimeout(async () => {
      backends.length = 0;
      backends.push(await startBackend(respondTwoAndEnd));
      stalls.moveAttempts(closing!.instanceId, {
        reason: "closing",
        nowMs: readNowMs(),
        isClosed: true,
      });
      backends.push(await startBackend(respondRest));
    }, SENDING_MS);
    expectWhole(await answer);
  });
});

function expectWhole(
  { status, body, isComplete }: Awaited<ReturnType<typeof call>>,
): void {
  expect({ status, body, isComplete }).toEqual({
    status: 200,
    body: events(0, LAST_EVENT_ID),
    isComplete: true,
  });
}

/** Sends two events and closes the connection, as a close that interrupts does. */
const respondTwoAndEnd: RequestListener = (incoming, response) => {
  const firstId = Number(incoming.headers["last-event-id"] ?? -1) + 1;
  response.writeHead(200, createHeaders(idOf(incoming)));
  response.write(events(firstId, firstId));
  setTimeout(
    () => response.write(events(firstId + 1, firstId + 1)),
    EVENT_PAUSE_MS,
  );
  setTimeout(() => incoming.socket.destroy(), EVENT_PAUSE_MS + SENDING_MS);
};

const respondRest: RequestListener = (incoming, response) => {
  const lastId = Number(incoming.headers["last-event-id"] ?? -1);
  response.writeHead(200, createHeaders(idOf(incoming)));
  response.end(events(lastId + 1, LAST_EVENT_ID));
};

function createHeaders(callId: string) {
  return {
    "attempt-id": callId,
    "server-stamp": "s",
    "content-type": "text/event-stream",
  };
}

function events(firstId: number, lastId: number): string {
  return Array.from(
    { length: lastId - firstId + 1 },
    (_, index) => `id: ${firstId + index}\ndata: a\n\n`,
  ).join("");
}
