import { expect } from "earl";
import { it } from "node:test";
import { LoadTracker } from "./load_tracker.ts";
import { QueueWaitEstimator } from "./queue_wait.ts";
import { StallDetector } from "./stall_watch.ts";
import {
  call,
  idOf,
  readNowMs,
  startBackend,
  startEntry,
} from "./test_entry.ts";

const SERVICE_MS = 150;
/** Silence of a single request after which a head without queue is doubted. */
const DOUBT_MS = 700;

it("learns service times and queues from answers, and waits as long as they say", async () => {
  const loads = new LoadTracker();
  const queueWaits = new QueueWaitEstimator(loads);
  const stalls = new StallDetector({
    queueWaitMs: (request, nowMs) => queueWaits.expectedWaitMs(request, nowMs),
  });
  let startMs = 0;
  const backend = await startBackend((incoming, response) => {
    setTimeout(() => {
      response.writeHead(200, {
        "attempt-id": idOf(incoming),
        "server-stamp": "s",
        "replica-load": "4,8,4",
        "content-type": "text/event-stream",
      });
      response.write("id: 0\ndata: a\n\n");
      setTimeout(() => response.end("id: 1\ndata: b\n\n"), SERVICE_MS);
    }, startMs);
  });
  const entry = await startEntry({
    backends: [{ ...backend, slots: 100 }],
    loads,
    queueWaits,
    stalls,
  });
  const first = await call(entry, "/stream/x");
  expect([first.isWhole, first.status]).toEqual([true, 200]);
  const usualMs = queueWaits.usualServiceMs("");
  expect(usualMs >= SERVICE_MS - 10 && usualMs < 10 * SERVICE_MS)
    .toEqual(true);
  // A request that waits twice the usual service time is no sign of a stall.
  startMs = 300;
  const waiting = call(entry, "/stream/x");
  await new Promise((resolve) => setTimeout(resolve, 100));
  const nowMs = readNowMs();
  expect(stalls.findSuspected(nowMs + DOUBT_MS)).toEqual([]);
  expect(stalls.isSilent(backend.instanceId, nowMs + 200)).toEqual(false);
  expect(stalls.findSuspected(nowMs + 3_000).length).toEqual(1);
  expect((await waiting).isWhole).toEqual(true);
});
