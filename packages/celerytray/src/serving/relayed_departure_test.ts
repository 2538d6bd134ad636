import { expect } from "earl";
import type { RequestListener } from "node:http";
import { it } from "node:test";
import { HEADER_NAMES } from "../platform/words.ts";
import { type Gateway, GatewayChoice } from "./relay/index.ts";
import { call, idOf, startBackend, startEntry } from "./test_entry.ts";
import { createLostLinks } from "./test_relay.ts";

const EVENTS = 8;
const EVENT_PAUSE_MS = 60;
const DEPARTURE_MS = 150;

// Guards against a stream that is taken from a process in its planned stop, which
// completes what it has, only because it takes no more (LOST).
it("a stream ends at its gateway although that no longer takes part", async () => {
  let requests = 0;
  const backend = await startBackend(respondSlowly(() => requests += 1));
  const ports = [
    await startEntry({ backends: [backend] }),
    await startEntry({ backends: [backend] }),
  ];
  const gateways = ports.map((port): Gateway => ({
    nodeId: `g-${port}`,
    peerAddress: `127.0.0.1:${port}`,
    zone: "z",
    lostServices: [],
  }));
  let present = gateways.slice(0, 1);
  const links = createLostLinks();
  const entry = await startEntry({
    backends: [],
    links,
    trySpend: () => true,
    gateways: new GatewayChoice({
      gateways: () => present,
      links,
      zone: "z",
      zoneRegions: new Map(),
      random: () => 0,
    }),
  });
  setTimeout(() => present = gateways.slice(1), DEPARTURE_MS);
  const { body, isComplete } = await call(entry, "/stream/x");
  expect([isComplete, body.split("\n\n").length - 1]).toEqual([true, EVENTS]);
  expect(requests).toEqual(1);
});

function respondSlowly(onRequest: () => void): RequestListener {
  return (incoming, response) => {
    onRequest();
    const lastId = Number(incoming.headers[HEADER_NAMES.lastEventId] ?? -1);
    response.writeHead(200, {
      [HEADER_NAMES.callId]: idOf(incoming),
      [HEADER_NAMES.stamp]: "s",
      "content-type": "text/event-stream",
    });
    let id = lastId + 1;
    const timer = setInterval(() => {
      response.write(`id: ${id}\ndata: a\n\n`);
      id += 1;
      if (id < EVENTS) return;
      clearInterval(timer);
      response.end();
    }, EVENT_PAUSE_MS);
    response.on("close", () => clearInterval(timer));
  };
}
