import { Effect, Fiber } from "effect";
import { expect } from "earl";
import type { IncomingMessage, RequestListener } from "node:http";
import { after, describe, it } from "node:test";
import { PaceTracker, StallDetector } from "../serving/index.ts";
import {
  call,
  idOf,
  readNowMs,
  startBackend,
  startEntry,
  startRawBackend,
} from "../serving/test_entry.ts";
import { moveAttempts } from "./move_attempts.ts";

const TIME_MS = 6_000;
/** A silence that a sound replica may have, and that gets its streams moved. */
const SILENCE_MS = 1_500;
const EVENT_PAUSE_MS = 60;
const LAST_EVENT_ID = 9;
const SILENT_AFTER_ID = 2;
/** Connections for the resumed stream that a full replica resets. */
const RESETS = 2;
const loops: Fiber.Fiber<never>[] = [];

after(async () => {
  for (const loop of loops) await Effect.runPromise(Fiber.interrupt(loop));
});

// Guards against a stream of a sound replica that is ended as it is moved away
// from a silence of 1.5 s, and the other replica has no room for it (LOST).
describe("a stream whose replica is silent for a moment", () => {
  it("goes on there if the other replica resets its connection", async () => {
    const reset = await startRawBackend((socket) => {
      socket.once("data", () => socket.resetAndDestroy());
    });
    expect(await streamBeside(reset)).toEqual(WHOLE);
  });

  it("goes on there if the other replica rejects it", async () => {
    const full = await startBackend((incoming, response) => {
      response.writeHead(503, {
        "attempt-id": idOf(incoming),
        "not-executed": "1",
      }).end();
    });
    expect(await streamBeside(full)).toEqual(WHOLE);
  });

  it("goes on there if that one resets its connection first, too", async () => {
    const reset = await startRawBackend((socket) => {
      socket.once("data", () => socket.resetAndDestroy());
    });
    const answer = await streamBeside(reset, { resets: RESETS });
    expect(answer).toEqual(WHOLE);
  });
});

/** Streams from a replica that falls silent, with another one beside it. */
async function streamBeside(
  other: Awaited<ReturnType<typeof startBackend>>,
  { resets = 0 }: { readonly resets?: number } = {},
): Promise<typeof WHOLE> {
  const stalls = new StallDetector();
  const backends = [await startBackend(respondWithSilence(resets))];
  const entry = await startEntry({
    backends,
    stalls,
    trySpend: () => true,
    timeoutMs: TIME_MS,
  });
  loops.push(Effect.runFork(moveAttempts({
    stalls,
    paces: new PaceTracker(),
    isBehind: () => false,
    nowMs: readNowMs,
    record: () => {},
    closedHeads: () => [],
    silentHeads: () => [],
  })));
  const answer = call(entry, "/stream/x", { "deadline-ms": String(TIME_MS) });
  backends.push(other);
  const { status, body, isComplete } = await answer;
  return { status, body, isComplete };
}

/**
 * Sends an event each pause, and none for a while after its first ones; resets
 * the first connections on which the stream comes again.
 */
function respondWithSilence(resets: number): RequestListener {
  let silentUntilMs = Number.POSITIVE_INFINITY;
  let resetCount = 0;
  return (incoming, response) => {
    if (findFirstId(incoming) > 0 && resetCount < resets) {
      resetCount += 1;
      incoming.socket.resetAndDestroy();
      return;
    }
    response.writeHead(200, {
      "attempt-id": idOf(incoming),
      "server-stamp": "s",
      "content-type": "text/event-stream",
    });
    let id = findFirstId(incoming);
    const timer = setInterval(() => {
      if (id <= SILENT_AFTER_ID) {
        silentUntilMs = readNowMs() + SILENCE_MS;
      } else if (readNowMs() < silentUntilMs) return;
      response.write(createEvent(id));
      if (id === LAST_EVENT_ID) {
        clearInterval(timer);
        response.end();
      }
      id += 1;
    }, EVENT_PAUSE_MS);
    response.on("close", () => clearInterval(timer));
  };
}

function findFirstId({ headers }: IncomingMessage): number {
  return Number(headers["last-event-id"] ?? -1) + 1;
}

function createEvent(id: number): string {
  return `id: ${id}\ndata: a\n\n`;
}

const WHOLE = {
  status: 200,
  body: Array.from(
    { length: LAST_EVENT_ID + 1 },
    (_, id) => createEvent(id),
  ).join(""),
  isComplete: true,
};
