import { expect } from "earl";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { HEADER_NAMES } from "../platform/words.ts";
import { refuseWhileBehind } from "./process_lag.ts";
import {
  call,
  readNowMs,
  respondDone,
  startBackend,
  startEntry,
} from "./test_entry.ts";

describe("a lagging process", () => {
  it("refuses a request only if it can't start in time", () => {
    const inTime = { targetMs: 1_000, remainingMs: 2_000, isLate: false };
    expect(refuseWhileBehind({ ...inTime, lagMs: 250 })).toEqual(undefined);
    expect(refuseWhileBehind({ ...inTime, lagMs: 499 })).toEqual(undefined);
    expect(refuseWhileBehind({ ...inTime, lagMs: 500 })?.retryAfterMs)
      .toEqual(500);
    const late = { ...inTime, isLate: true, lagMs: 500 };
    expect(refuseWhileBehind(late)).toEqual(undefined);
    expect(refuseWhileBehind({ ...late, remainingMs: 900 })?.retryAfterMs)
      .toEqual(300);
  });

  it("refuses without reading the body, as not run", async () => {
    let calls = 0;
    const backend = await startBackend(() => calls += 1);
    const lag = { lagMs: () => 300, isBehind: () => true };
    const withheld: string[] = [];
    const entry = await startEntry({
      backends: [backend],
      lag,
      onWithheld: (reason) => withheld.push(reason),
    });
    const response = await call(entry, "/safe/x");
    expect([response.status, response.headers["retry-after"]]).toEqual([
      503,
      "0.50",
    ]);
    expect([calls, withheld]).toEqual([0, ["lag"]]);
    expect((await call(entry, "/safe/x", { "x-api-key": "other" })).status)
      .toEqual(401);
  });

  // Guards against forwarding requests 0.8 s after their callers had left.
  it("sends no request whose caller left before it was read", async () => {
    let calls = 0;
    const backend = await startBackend((incoming, response) => {
      calls += 1;
      respondDone(incoming, response);
    });
    const withheld: string[] = [];
    const entry = await startEntry({
      backends: [backend],
      lag: { lagMs: () => 0, isBehind: () => true },
      onWithheld: (reason) => withheld.push(reason),
    });
    expect((await call(entry, "/safe/x")).status).toEqual(200);
    await leaveAtOnce(entry);
    expect([calls, withheld]).toEqual([1, ["left"]]);
  });

  it("sends no request whose deadline has passed", async () => {
    let calls = 0;
    const backend = await startBackend(() => calls += 1);
    const withheld: string[] = [];
    const entry = await startEntry({
      backends: [backend],
      // The deadline passes while the process does other work.
      lag: { lagMs: () => 0, isBehind: () => blockFor(60) },
      onWithheld: (reason) => withheld.push(reason),
    });
    const response = await call(entry, "/once/x", { "deadline-ms": "40" });
    expect([response.status, calls]).toEqual([503, 0]);
    expect(withheld).toEqual(["deadline"]);
  });
});

function blockFor(durationMs: number): false {
  const endsAtMs = readNowMs() + durationMs;
  while (readNowMs() < endsAtMs);
  return false;
}

/** Sends a request and disconnects before the event loop can read it. */
function leaveAtOnce(port: number): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1", () => {
      const lines = [
        "POST /safe/x HTTP/1.1",
        "Host: a.example",
        `${HEADER_NAMES.callId}: left-1`,
        `${HEADER_NAMES.deadline}: 2000`,
        `${HEADER_NAMES.apiKey}: key-1`,
        "Content-Length: 4",
      ];
      socket.write(`${lines.join("\r\n")}\r\n\r\nbody`);
      socket.destroy();
      setTimeout(resolve, 100);
    });
  });
}
