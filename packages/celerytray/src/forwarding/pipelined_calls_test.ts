import { expect } from "earl";
import { Effect } from "effect";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { after, describe, it } from "node:test";
import { KEY, startCallerEntry } from "./test_caller_entry.ts";

const HOST = "127.0.0.1";
const LIMITED = { timeout: 5_000 };
/** Longer than a request takes to reach the engine. */
const SETTLE_MS = 100;
const BODY = JSON.stringify({
  model: "drafter",
  stream: true,
  messages: [{ role: "user", content: "x" }],
});
const CALL = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" +
  `Authorization: Bearer ${KEY}\r\nContent-Length: ${BODY.length}\r\n\r\n` +
  BODY;
const cleanups: (() => unknown)[] = [];

after(async () => {
  for (const close of cleanups.reverse()) await close();
});

// Guards against a call that runs on for a caller that left, and for which a stop
// waits, as another one of its connection was being answered.
describe("calls behind one another on a connection", () => {
  it("begin one after the other and end with it", LIMITED, async () => {
    let requests = 0;
    const engineAddress = await startSilentEngine(() => requests += 1);
    const { port, calls } = await startCallerEntry({
      engineAddress,
      replicaIds: ["r-0"],
    });
    const socket = connect(port, HOST);
    socket.on("error", () => {});
    socket.write(CALL + CALL);
    while (requests === 0) await pause(5);
    await pause(SETTLE_MS);
    expect([requests, calls.count]).toEqual([1, 2]);
    socket.destroy();
    await Effect.runPromise(calls.waitUntilEmpty());
    expect(requests).toEqual(1);
  });
});

/** Starts an engine that answers nothing. */
async function startSilentEngine(onRequest: () => void): Promise<string> {
  const server = createServer(onRequest);
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  cleanups.push(() => {
    server.close();
    server.closeAllConnections();
  });
  return `${HOST}:${(server.address() as AddressInfo).port}`;
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
