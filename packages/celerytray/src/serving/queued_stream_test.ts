import { expect } from "earl";
import { it } from "node:test";
import { LoadTracker } from "./load_tracker.ts";
import { QueueWaitEstimator } from "./queue_wait_estimator.ts";
import { StallDetector } from "./stall_detector.ts";
import {
  call,
  idOf,
  readNowMs,
  startBackend,
  startEntry,
} from "./test_entry.ts";

const SERVICE_MS = 150;
/** Silence of a single request after which a head without queue is suspected. */
const SUSPECT_AFTER_MS = 700;

it("waits for as long as the reported queue and service times explain", async () => {
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
  expect([first.isComplete, first.status]).toEqual([true, 200]);
  const meanMs = queueWaits.meanServiceMs("");
  expect(meanMs >= SERVICE_MS - 10 && meanMs < 10 * SERVICE_MS)
    .toEqual(true);
  // A request that waits twice the mean service time does not indicate a stall.
  startMs = 300;
  const waiting = call(entry, "/stream/x");
  await new Promise((resolve) => setTimeout(resolve, 100));
  const nowMs = readNowMs();
  expect(stalls.findSuspected(nowMs + SUSPECT_AFTER_MS)).toEqual([]);
  expect(stalls.isSilent(backend.instanceId, nowMs + 200)).toEqual(false);
  expect(stalls.findSuspected(nowMs + 3_000).length).toEqual(1);
  expect((await waiting).isComplete).toEqual(true);
});
