import { expect } from "earl";
import { it } from "node:test";
import type { CallRecord } from "./call_context.ts";
import type { ServingTarget } from "./choose_target.ts";
import { begin, events } from "./test_streams.ts";
import { call, startBackend, startEntry } from "./test_entry.ts";

const DEADLINE_MS = 1_000;

// The poll of a waiting stream sees the deadline before the timer that names it,
// if the process stands still over the deadline.
it("names the deadline as the cause of a stream that waited until it", async () => {
  const records: CallRecord[] = [];
  const backends: ServingTarget[] = [];
  backends.push(
    await startBackend((incoming, response) => {
      begin(incoming, response);
      response.write(events(0, 1));
      setTimeout(() => {
        backends.length = 0;
        incoming.socket.destroy();
      }, 30);
    }),
  );
  const entry = await startEntry({
    backends,
    trySpend: () => true,
    record: (record) => records.push(record),
  });
  setTimeout(() => standStillFor(300), DEADLINE_MS - 100);
  await call(entry, "/stream/x", { "deadline-ms": String(DEADLINE_MS) });
  const [{ cause, awaited, remainingMs }] = records as [CallRecord];
  expect(remainingMs !== undefined && remainingMs <= 0).toEqual(true);
  expect({ cause, awaited }).toEqual({
    cause: "caller-timeout",
    awaited: "no-target",
  });
});

function standStillFor(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}
