import { createPlatformPorts } from "celerytray";
import { expect } from "earl";
import { Effect, Exit } from "effect";
import type { AddressInfo } from "node:net";
import { after, describe, it } from "node:test";
import { FakeStoreServer } from "./fake_store_server.ts";

/** Time in which a change must be in force, less that for noticing its lack. */
const MAX_READ_MS = 800;
const LEADER_WAIT_MS = 500;
const KEPT_CONNECTIONS = 4;

// Guards against a configuration that is in force too late: open connections to
// the store went silent, and one after the other was waited for.
describe("a client of the store whose open connections go silent", () => {
  const server = new FakeStoreServer();
  const { server: http } = server;
  after(() => http.closeAllConnections());
  after(() => http.close());

  const start = async () => {
    if (!http.listening) {
      await new Promise<void>((resolve) =>
        http.listen(0, "127.0.0.1", resolve)
      );
    }
    const { port } = http.address() as AddressInfo;
    const { log } = createPlatformPorts({ storeAddress: `127.0.0.1:${port}` });
    const reads = Array.from(
      { length: KEPT_CONNECTIONS },
      () => log.readNewest("config"),
    );
    await Effect.runPromise(Effect.all(reads, { concurrency: "unbounded" }));
    return log;
  };

  it("reads on a new connection in time", async () => {
    const log = await start();
    server.silenceOpenConnections();
    const read = log.read("config", { fromOffset: 0, waitMs: 0 });
    expect(await measureMs(read) <= MAX_READ_MS).toEqual(true);
    expect(await measureMs(log.readNewest("config")) <= MAX_READ_MS)
      .toEqual(true);
  });

  it("repeats a read that waits for a record", async () => {
    const log = await start();
    const read = log.read("config", { fromOffset: 0, waitMs: LEADER_WAIT_MS });
    setTimeout(() => server.silenceOpenConnections(), LEADER_WAIT_MS / 2);
    expect(await measureMs(read) <= LEADER_WAIT_MS + MAX_READ_MS)
      .toEqual(true);
  });

  it("appends on a new connection after one without an answer", async () => {
    const log = await start();
    server.silenceOpenConnections();
    const append = log.append("fleet", { key: "k", value: Buffer.from("v") });
    const lost = await Effect.runPromise(Effect.exit(append));
    expect(Exit.isFailure(lost)).toEqual(true);
    expect(await measureMs(append) <= MAX_READ_MS).toEqual(true);
  });
});

/** Time that a call takes; fails if the call does. */
async function measureMs(
  call: Effect.Effect<unknown, unknown>,
): Promise<number> {
  const startedAtMs = performance.now();
  await Effect.runPromise(call);
  return performance.now() - startedAtMs;
}
