import { expect } from "earl";
import { describe, it } from "node:test";
import { call, idOf, startBackend, startEntry } from "./test_entry.ts";

const LATE_SIGNAL_MS = 60;

describe("serveCall with admission", () => {
  // Guards against requests that queue at an instance and not here.
  it("holds requests here while the instance tells of waiting ones", async () => {
    const ends: (() => void)[] = [];
    let load = "4,2,4";
    const backend = await startBackend((incoming, response) => {
      response.writeHead(200, {
        "attempt-id": idOf(incoming),
        "server-stamp": "s",
        "content-type": "text/event-stream",
        "replica-load": load,
      });
      response.write("id: 0\ndata: a\n\n");
      ends.push(() => response.end("id: 1\ndata: b\n\n"));
    });
    const entry = await startEntry({ backends: [backend] });
    const first = call(entry, "/stream/x");
    await pause(LATE_SIGNAL_MS);
    const second = call(entry, "/stream/x");
    await pause(LATE_SIGNAL_MS);
    expect(ends.length).toEqual(1);
    load = "1,0,4";
    ends[0]!();
    expect((await first).isWhole).toEqual(true);
    await pause(LATE_SIGNAL_MS);
    expect(ends.length).toEqual(2);
    ends[1]!();
    expect((await second).body).toEqual(
      "id: 0\ndata: a\n\nid: 1\ndata: b\n\n",
    );
  });

  it("resumes a stream at once while others wait", async () => {
    const seen: unknown[] = [];
    const backend = await startBackend((incoming, response) => {
      seen.push(incoming.headers["last-event-id"]);
      response.writeHead(200, {
        "attempt-id": idOf(incoming),
        "server-stamp": "s",
        "content-type": "text/event-stream",
        "replica-load": "4,2,4",
      });
      response.write("id: 3\ndata: a\n\n");
      setTimeout(() => response.end(), 4 * LATE_SIGNAL_MS);
    });
    const entry = await startEntry({ backends: [backend] });
    const calls = [call(entry, "/stream/x")];
    await pause(LATE_SIGNAL_MS);
    calls.push(call(entry, "/stream/x"));
    await pause(LATE_SIGNAL_MS);
    calls.push(call(entry, "/stream/x", { "last-event-id": "2" }));
    await pause(LATE_SIGNAL_MS);
    expect(seen).toEqual([undefined, "2"]);
    for (const answer of await Promise.all(calls)) {
      expect(answer.status).toEqual(200);
    }
  });

  it("refuses a waiting request as not run when its time is over", async () => {
    let arrivals = 0;
    const backend = await startBackend((incoming, response) => {
      arrivals += 1;
      response.writeHead(200, {
        "attempt-id": idOf(incoming),
        "server-stamp": "s",
        "content-type": "text/event-stream",
        "replica-load": "4,2,4",
      });
      response.write("id: 0\ndata: a\n\n");
      setTimeout(() => response.end(), 500);
    });
    const entry = await startEntry({ backends: [backend] });
    const first = call(entry, "/stream/x");
    await pause(LATE_SIGNAL_MS);
    const refused = await call(entry, "/stream/x", { "deadline-ms": "200" });
    expect([refused.status, arrivals]).toEqual([503, 1]);
    expect(refused.headers["retry-after"] !== undefined).toEqual(true);
    expect(refused.body.includes("was not run")).toEqual(true);
    await first;
  });
});

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
