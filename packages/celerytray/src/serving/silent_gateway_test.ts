import { Effect } from "effect";
import { expect } from "earl";
import { request } from "node:http";
import { describe, it } from "node:test";
import { type Gateway, GatewayChoice } from "./relay/index.ts";
import { begin, events, firstIdOf } from "./test_streams.ts";
import { call, startBackend, startEntry } from "./test_entry.ts";
import { createLostLinks } from "./test_relay.ts";

const DEADLINE_MS = 8_000;
const EVENTS = 20;
const EVENT_PAUSE_MS = 60;
const DEPARTED_MS = 100;
const LARGE_EVENTS = 60;
const LARGE_BYTES = 512 * 1024;
const options = {
  trySpend: () => true,
  timeoutMs: DEADLINE_MS,
  aliveCheck: { isAlive: () => Effect.succeed(true) },
};

// A gateway that is not heard because this process does not read from it.
describe("a stream at a gateway that stops as planned and writes on", () => {
  it("stays there as this process stands still for 0.7 s", async () => {
    const { port, count } = await startDeparting((incoming, response) => {
      begin(incoming, response);
      let id = firstIdOf(incoming);
      const timer = setInterval(() => {
        response.write(events(id, id));
        id += 1;
        if (id < EVENTS) return;
        clearInterval(timer);
        response.end();
      }, EVENT_PAUSE_MS);
      response.on("close", () => clearInterval(timer));
    });
    setTimeout(() => standStillFor(700), 400);
    const { isComplete } = await call(port, "/stream/x", {
      "deadline-ms": String(DEADLINE_MS),
    });
    expect({ isComplete, requests: count() }).toEqual({
      isComplete: true,
      requests: 1,
    });
  });

  it("stays there while its caller doesn't read for 1.2 s", async () => {
    const { port, count } = await startDeparting((incoming, response) => {
      begin(incoming, response);
      let id = firstIdOf(incoming);
      const writeMore = () => {
        while (id < LARGE_EVENTS) {
          const data = "a".repeat(LARGE_BYTES);
          const goesOn = response.write(`id: ${id}\ndata: ${data}\n\n`);
          id += 1;
          if (!goesOn) {
            response.once("drain", writeMore);
            return;
          }
        }
        response.end();
      };
      writeMore();
    });
    const isComplete = await readLate(port, 1_200);
    expect({ isComplete, requests: count() }).toEqual({
      isComplete: true,
      requests: 1,
    });
  });
});

/** An entry whose first gateway takes no more part after a while. */
async function startDeparting(
  listener: Parameters<typeof startBackend>[0],
): Promise<{ readonly port: number; readonly count: () => number }> {
  let requests = 0;
  const backend = await startBackend((incoming, response) => {
    requests += 1;
    listener(incoming, response);
  });
  const ports = [
    await startEntry({ ...options, backends: [backend] }),
    await startEntry({ ...options, backends: [backend] }),
  ];
  let present = ports.map((port): Gateway => ({
    nodeId: `g-${port}`,
    peerAddress: `127.0.0.1:${port}`,
    zone: "z",
    lostServices: [],
  }));
  setTimeout(() => present = present.slice(1), DEPARTED_MS);
  const links = createLostLinks();
  const port = await startEntry({
    ...options,
    backends: [],
    links,
    gateways: new GatewayChoice({
      gateways: () => present,
      links,
      zone: "z",
      zoneRegions: new Map(),
      random: () => 0,
    }),
  });
  return { port, count: () => requests };
}

/** Reads a stream some time after its beginning; whether it was complete. */
function readLate(port: number, pauseMs: number): Promise<boolean> {
  return new Promise((resolve, reject) => {
    const sent = request({
      host: "127.0.0.1",
      port,
      path: "/stream/x",
      method: "POST",
      agent: false,
      headers: {
        host: "a.example",
        "attempt-id": "late-reader",
        "deadline-ms": String(DEADLINE_MS),
        "x-api-key": "key-1",
      },
    });
    sent.on("error", reject);
    sent.on("response", (response) => {
      response.on("error", () => {});
      response.on("close", () => resolve(response.complete));
      setTimeout(() => response.resume(), pauseMs);
    });
    sent.end("body");
  });
}

function standStillFor(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}
