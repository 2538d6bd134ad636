import { Effect } from "effect";
import { expect } from "earl";
import { request } from "node:http";
import { describe, it } from "node:test";
import type { CallRecord } from "./call_context.ts";
import type { ServingTarget } from "./choose_target.ts";
import type { AttemptEnd } from "./end_cause.ts";
import { begin, events, reject, writeAndBreak } from "./test_streams.ts";
import { call, startBackend, startEntry } from "./test_entry.ts";

const DEADLINE_MS = 3_000;
const aliveCheck = { isAlive: () => Effect.succeed(true) };

describe("a begun stream that waits", () => {
  it("ends as its caller leaves, and asks no replica after that", async () => {
    const records: CallRecord[] = [];
    let asked = 0;
    let hasBegun = false;
    const backends = [
      await startBackend((incoming, response) => {
        asked += 1;
        if (hasBegun) return reject(incoming, response);
        hasBegun = true;
        writeAndBreak()(incoming, response);
      }),
    ];
    const port = await startEntry({
      backends,
      aliveCheck,
      trySpend: () => true,
      timeoutMs: DEADLINE_MS,
      record: (record) => records.push(record),
    });
    const sent = request({
      host: "127.0.0.1",
      port,
      path: "/stream/x",
      method: "POST",
      agent: false,
      headers: {
        host: "a.example",
        "attempt-id": "leaves",
        "deadline-ms": String(DEADLINE_MS),
        "x-api-key": "key-1",
      },
    });
    sent.on("error", () => {});
    sent.on("response", (response) => {
      response.on("error", () => {});
      response.resume();
    });
    sent.end("body");
    await pause(900);
    sent.destroy();
    await pause(50);
    const askedBefore = asked;
    await pause(1_200);
    const [{ outcome, cause, hasBegun: wasBegun, awaited }] = records as [
      CallRecord,
    ];
    expect({ outcome, cause, wasBegun, awaited, later: asked - askedBefore })
      .toEqual({
        outcome: "left",
        cause: "caller-left",
        wasBegun: true,
        awaited: "no-target",
        later: 0,
      });
  });

  it("counts an attempt that this process ends as none that was lost", async () => {
    const ends: AttemptEnd[] = [];
    const backends: ServingTarget[] = [
      await startBackend((incoming, response) => {
        begin(incoming, response);
        // It skips an event, so this process closes the connection.
        response.write(events(0, 0) + events(2, 2));
      }),
    ];
    const port = await startEntry({
      backends,
      aliveCheck,
      trySpend: () => true,
      timeoutMs: 500,
      onAttemptEnded: (end: AttemptEnd) => ends.push(end),
    });
    await call(port, "/stream/x", { "deadline-ms": "500" });
    expect(ends.includes("lost")).toEqual(false);
  });
});

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
