import { expect } from "earl";
import { Effect } from "effect";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformCallCodec } from "../../platform/call_codec.ts";
import type { AbandonReason } from "../stall_detector.ts";
import { startRawBackend } from "../test_entry.ts";
import type { AttemptOutcome } from "./attempt_options.ts";
import { CallerStream, type WriteResult } from "./caller_stream.ts";
import { HeldBytes } from "./held_bytes.ts";
import {
  createRawChunk,
  createRawStreamHead,
  LAST_CHUNK,
} from "./raw_response.ts";
import { runAttempt } from "./run_attempt.ts";

const EVENTS = [0, 1, 2, 3].map((id) => `id: ${id}\ndata: ${id}\n\n`);
/** Time in which the connection is read to its end and closed. */
const CLOSE_MS = 50;

describe("events that are still buffered as their attempt ends", () => {
  // Guards against events that both an attempt that was moved and its successor
  // pass on (ORDER): the response is complete and its connection closed, so that
  // closing the request no longer keeps the buffered events from being emitted.
  it("are not written, and tell so once", async () => {
    const backend = await startRawBackend((socket) =>
      socket.on("data", (request) => {
        const chunks = EVENTS.map(createRawChunk).join("");
        socket.end(createRawStreamHead(request) + chunks + LAST_CHUNK);
      })
    );
    const written: string[] = [];
    const stream = new CallerStream({
      lastEventId: undefined,
      sink: {
        hasStarted: false,
        startStream: () => {},
        writeEvent: (bytes) => {
          written.push(bytes.toString());
          return false;
        },
      },
    });
    const attempt = runPaused(backend.address, stream);
    await sleep(CLOSE_MS);
    attempt.abandon("slow");
    expect((await attempt.outcome).kind).toEqual("lost");
    attempt.resume();
    await sleep(CLOSE_MS);
    expect(attempt.results).toEqual(["written-ahead", "closed"]);
    expect(written).toEqual(EVENTS.slice(0, 1));
  });
});

/** Runs an attempt whose caller doesn't keep up with the first event. */
function runPaused(address: string, stream: CallerStream) {
  const results: WriteResult[] = [];
  const writer = stream.open();
  const controls: {
    abandon: (reason: AbandonReason) => void;
    resume: () => void;
  } = { abandon: () => {}, resume: () => {} };
  const outcome: Promise<AttemptOutcome> = Effect.runPromise(runAttempt({
    codec: new PlatformCallCodec(),
    address,
    method: "POST",
    target: "/",
    headers: ["Attempt-Id", "call-1"],
    body: Buffer.from("body"),
    callId: "call-1",
    agent: undefined,
    held: new HeldBytes({ maxBytes: 1024, nowMs: () => 0, onCut: () => {} }),
    lastEventId: () => stream.lastEventId,
    maySend: () => true,
    onSent: () => {},
    onHeaders: () => {},
    onProgress: () => {},
    onStreamHeaders: (headers) => writer.start(headers),
    onEvent: (event) => {
      const result = writer.write(event);
      results.push(result);
      return result;
    },
    awaitDrain: (onReady) => controls.resume = onReady,
    onEnd: () => writer.close(),
    registerAbandon: (abandon) => controls.abandon = abandon,
  }));
  return {
    outcome,
    results,
    abandon: (reason: AbandonReason) => controls.abandon(reason),
    resume: () => controls.resume(),
  };
}
