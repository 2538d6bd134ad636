import { expect } from "earl";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, describe, it } from "node:test";
import type { ServingTarget } from "./choose_target.ts";
import { begin, events, firstIdOf } from "./test_streams.ts";
import { call, startBackend, startEntry } from "./test_entry.ts";

const REPLICAS = 6;
const MAX_ATTEMPTS = 2;
const servers: Server[] = [];

after(() => {
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
});

// Guards against a request that crashes whatever runs it, only later than in its
// first 100 ms of writing, and takes down all replicas, one after another.
describe("a stream that crashes each replica", () => {
  it("reaches no more of them than max_attempts if it writes before", async () => {
    const crashed: string[] = [];
    const backends = await Promise.all(
      Array.from({ length: REPLICAS }, () => startCrashing(crashed)),
    );
    const entry = await startEntry({
      backends,
      trySpend: () => true,
      timeoutMs: 4_000,
    });
    await call(entry, "/stream/x", { "deadline-ms": "4000" });
    expect(Math.max(MAX_ATTEMPTS, crashed.length)).toEqual(MAX_ATTEMPTS);
  });

  it("reaches one that is formed again no more than max_attempts times", async () => {
    let requests = 0;
    const backends: ServingTarget[] = [];
    const head = await startBackend((incoming, response) => {
      requests += 1;
      const first = firstIdOf(incoming);
      begin(incoming, response);
      response.write(events(first, first));
      setTimeout(() => {
        const { epoch } = backends.pop()!;
        incoming.socket.destroy();
        setTimeout(() => backends.push({ ...head, epoch: epoch + 1 }), 300);
      }, 30);
    });
    backends.push({ ...head, epoch: 1 });
    const entry = await startEntry({
      backends,
      trySpend: () => true,
      timeoutMs: 4_000,
    });
    await call(entry, "/stream/x", { "deadline-ms": "4000" });
    expect(requests).toEqual(MAX_ATTEMPTS);
  });
});

/** A replica that writes for 140 ms and then ends with its whole process. */
async function startCrashing(crashed: string[]): Promise<ServingTarget> {
  const server = createServer((incoming, response) => {
    const first = firstIdOf(incoming);
    begin(incoming, response);
    response.write(events(first, first));
    setTimeout(
      () => response.write(events(first + 1, first + 1)),
      120,
    );
    setTimeout(() => {
      crashed.push(instanceId);
      server.close();
      server.closeAllConnections();
    }, 140);
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const instanceId = `i-${port}`;
  const address = `127.0.0.1:${port}`;
  return { instanceId, address, zone: "z", slots: 4, epoch: 0 };
}
