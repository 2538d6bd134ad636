import { expect } from "earl";
import type { Server } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { after, describe, it } from "node:test";
import type { ServingTarget } from "../choose_target.ts";
import { call, respondDone, startEntry } from "../test_entry.ts";

const BACKENDS = 8;
/** Crashes from which a request is held back, with one to spare. */
const MAX_CRASHED = 3;
/** A back end crashes as it runs the request, some time after its start. */
const CRASH_AFTER_MS = 40;
const servers: Server[] = [];

after(() => {
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
});

// Guards against a whole request that crashes whoever runs it and comes again
// and again: it took down every back end of a small service.
describe("a request that crashes back ends", () => {
  for (const path of ["/safe/deadly", "/once/deadly"]) {
    it(`stops reaching them, while others are served: ${path}`, async () => {
      const crashed: string[] = [];
      const backends = await Promise.all(
        Array.from({ length: BACKENDS }, () => startCrashing(crashed)),
      );
      const port = await startEntry({ backends });
      expect((await call(port, "/safe/sound")).status).toEqual(200);
      const statuses: number[] = [];
      for (let count = 0; count < BACKENDS; count++) {
        const { status } = await call(port, path);
        statuses.push(status);
      }
      expect(crashed.length <= MAX_CRASHED).toEqual(true);
      expect(statuses.slice(MAX_CRASHED)).toEqual(
        Array.from({ length: BACKENDS - MAX_CRASHED }, () => 503),
      );
      expect((await call(port, "/safe/sound")).status).toEqual(200);
      expect((await call(port, "/once/other")).status).toEqual(200);
    });
  }
});

/** A back end that ends for good as it runs the deadly request. */
async function startCrashing(crashed: string[]): Promise<ServingTarget> {
  const server = createServer((request, response) => {
    request.resume();
    if (request.url?.endsWith("/deadly") !== true) {
      respondDone(request, response);
      return;
    }
    setTimeout(() => {
      crashed.push(instanceId);
      server.close();
      server.closeAllConnections();
    }, CRASH_AFTER_MS);
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const instanceId = `i-${port}`;
  return {
    instanceId,
    address: `127.0.0.1:${port}`,
    zone: "z",
    slots: 4,
    epoch: 0,
  };
}
