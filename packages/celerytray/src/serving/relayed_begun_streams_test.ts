import { Effect } from "effect";
import { expect } from "earl";
import {
  createServer,
  request as httpRequest,
  type RequestListener,
  type Server,
} from "node:http";
import type { AddressInfo } from "node:net";
import { after, describe, it } from "node:test";
import type { ServingTarget } from "./choose_target.ts";
import { type Gateway, GatewayChoice } from "./relay/index.ts";
import {
  begin,
  events,
  firstIdOf,
  outcomeOf,
  reject,
  respondRest,
  whole,
  writeAndBreak,
} from "./test_streams.ts";
import { call, startBackend, startEntry } from "./test_entry.ts";
import { createLostLinks, startCutEntry } from "./test_relay.ts";

const LAST_ID = 9;
const DEADLINE_MS = 5_000;
const headers = { "deadline-ms": String(DEADLINE_MS) };
const options = {
  trySpend: () => true,
  timeoutMs: DEADLINE_MS,
  aliveCheck: { isAlive: () => Effect.succeed(true) },
};
const servers: Server[] = [];

after(() => {
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
});

describe("a begun stream behind other processes, whose replica is sound", () => {
  // LOST: relayed runs count one each, though all are at one replica, and none
  // may go on once they are two.
  it("outlives two gateways that end", async () => {
    const backend = await startBackend(respondSlowly(100));
    const gateway = await startEntry({ ...options, backends: [backend] });
    const cut = await startCut(
      namedGateways([
        await startEnding(gateway),
        await startEnding(gateway),
        gateway,
      ]),
    );
    const answer = call(cut, "/stream/x", headers);
    expect(await outcomeOf(answer)).toEqual(whole(LAST_ID));
  });

  // LOST: the gateway, which was handed one attempt, waits at the replica that
  // rejects until the deadline, where it gave the stream back before.
  it("goes on at the second replica that it may still use", async () => {
    let requests = 0;
    const backends: ServingTarget[] = [];
    const first = await startBackend((incoming, response) => {
      requests += 1;
      if (requests > 1) reject(incoming, response);
      else {
        writeAndBreak(() => backends.push(second))(incoming, response);
      }
    });
    const second = await startBackend(respondRest(LAST_ID));
    backends.push(first);
    const ports = [
      await startEntry({ ...options, backends }),
      await startEntry({ ...options, backends }),
    ];
    const cut = await startCutEntry(ports, options);
    const answer = call(cut, "/stream/x", headers);
    expect(await outcomeOf(answer)).toEqual(whole(LAST_ID));
  });

  // LOST: half a second without an event is no proof that a gateway has ended.
  for (
    const { when, firstMs } of [
      { when: "before its first event", firstMs: 700 },
      { when: "between its events", firstMs: 0 },
    ]
  ) {
    it(`stays at gateways that stop as planned, silent ${when}`, async () => {
      let requests = 0;
      const backend = await startBackend((incoming, response) => {
        requests += 1;
        setTimeout(
          () => respondSlowly(700, 4)(incoming, response),
          firstMs,
        );
      });
      const ports = [
        await startEntry({ ...options, backends: [backend] }),
        await startEntry({ ...options, backends: [backend] }),
        await startEntry({ ...options, backends: [backend] }),
      ];
      let present = namedGateways(ports);
      const cut = await startCut(() => present);
      setTimeout(() => present = present.slice(1), 150);
      setTimeout(() => present = present.slice(1), 1_000);
      const answer = await outcomeOf(call(cut, "/stream/x", headers));
      expect({ ...answer, requests }).toEqual({ ...whole(4), requests: 1 });
    });
  }
});

function namedGateways(ports: readonly number[]): readonly Gateway[] {
  return ports.map((port): Gateway => ({
    nodeId: `g-${port}`,
    peerAddress: `127.0.0.1:${port}`,
    zone: "z",
    lostServices: [],
  }));
}

/** An entry without own links that takes the first of the gateways. */
function startCut(
  gateways: readonly Gateway[] | (() => readonly Gateway[]),
): Promise<number> {
  const links = createLostLinks();
  return startEntry({
    ...options,
    backends: [],
    links,
    gateways: new GatewayChoice({
      gateways: () => typeof gateways === "function" ? gateways() : gateways,
      links,
      zone: "z",
      zoneRegions: new Map(),
      random: () => 0,
    }),
  });
}

/** Passes a request on to a process, and ends with all it has after 250 ms. */
async function startEnding(port: number): Promise<number> {
  const server = createServer((incoming, response) => {
    const sent = httpRequest({
      host: "127.0.0.1",
      port,
      path: incoming.url,
      method: incoming.method,
      headers: incoming.headers,
      agent: false,
    }, (answer) => {
      response.writeHead(answer.statusCode ?? 0, answer.headers);
      answer.pipe(response);
      answer.on("error", () => {});
      setTimeout(() => {
        server.close();
        server.closeAllConnections();
        sent.destroy();
      }, 250);
    });
    sent.on("error", () => {});
    incoming.pipe(sent);
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return (server.address() as AddressInfo).port;
}

function respondSlowly(pauseMs: number, lastId = LAST_ID): RequestListener {
  return (incoming, response) => {
    begin(incoming, response);
    let id = firstIdOf(incoming);
    if (id === 0) {
      response.write(events(id, id));
      id += 1;
    }
    const timer = setInterval(() => {
      response.write(events(id, id));
      id += 1;
      if (id <= lastId) return;
      clearInterval(timer);
      response.end();
    }, pauseMs);
    response.on("close", () => clearInterval(timer));
  };
}
