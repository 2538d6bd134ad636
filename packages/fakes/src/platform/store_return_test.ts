import {
  createPlatformPorts,
  createPosition,
  type EraChange,
  eraOf,
  type KeyedLog,
  type OddEra,
} from "celerytray";
import { expect } from "earl";
import { Effect } from "effect";
import type { AddressInfo } from "node:net";
import { after, describe, it } from "node:test";
import { FakeStoreServer } from "./fake_store_server.ts";

const TOPIC = "fleet";
const RECORD = { key: "a", value: Buffer.from("1") };
const cleanups: (() => void)[] = [];

after(() => {
  for (const close of cleanups.reverse()) close();
});

// Guards against an offset that is compared with one of another era, as after a
// store came back from an older copy and gave out the same offsets again.
describe("a client of a store that comes back from an older copy", () => {
  it("reads the newest records instead of on from an earlier era", async () => {
    const { server, log } = await startStore();
    const before = await run(log.readNewest(TOPIC));
    const copy = server.store.copy();
    const { nextOffset } = await appendOnce(log);
    server.store.returnFrom(copy);
    await appendOnce(log);
    const failure = await run(Effect.flip(
      log.read(TOPIC, { fromOffset: nextOffset, waitMs: 0 }),
    ));
    expect(failure._tag).toEqual("HistoryDropped");
    const after = await run(log.readNewest(TOPIC));
    expect(after.nextOffset > nextOffset).toEqual(true);
    expect(eraOf(after.nextOffset)).toEqual(eraOf(before.nextOffset) + 1);
  });

  it("stores nothing that was decided on in an earlier era", async () => {
    const { server, log } = await startStore();
    const { nextOffset: at } = await run(log.readNewest(TOPIC));
    server.store.returnFrom(server.store.copy());
    // The client has not heard of the new era yet.
    const unknown = await run(
      Effect.flip(log.append(TOPIC, { ...RECORD, at })),
    );
    expect(unknown._tag).toEqual("StoreAnswerLost");
    const stored = server.store.endOffset("keyed.fleet");
    const refused = await run(
      Effect.flip(log.append(TOPIC, { ...RECORD, at })),
    );
    expect(refused._tag).toEqual("AppendConflict");
    expect(server.store.endOffset("keyed.fleet")).toEqual(stored);
  });

  it("ends a read that waits over the return", async () => {
    const { server, log } = await startStore();
    const { nextOffset } = await run(log.readNewest(TOPIC));
    const reading = run(Effect.flip(
      log.read(TOPIC, { fromOffset: nextOffset, waitMs: 10_000 }),
    ));
    await run(Effect.sleep(50));
    server.store.returnFrom(server.store.copy());
    expect((await reading)._tag).toEqual("HistoryDropped");
  });

  it("logs the era once, and believes no answer of an earlier one", async () => {
    const { server, log, raised, odd } = await startStore();
    server.store.era = 3;
    await run(log.readNewest(TOPIC));
    await run(log.readNewest(TOPIC));
    expect(raised).toEqual([{ era: 3, earlierEra: 0 }]);
    server.store.era = 2;
    const failure = await run(Effect.flip(log.readNewest(TOPIC)));
    expect(failure._tag).toEqual("StoreAnswerLost");
    // An answer without an era counts as one of the known era.
    server.store.era = 0;
    const { nextOffset } = await run(log.readNewest(TOPIC));
    expect(nextOffset).toEqual(createPosition({ era: 3, offset: 0 }));
    expect(odd.map(({ count }) => count)).toEqual([1]);
    expect(raised.length).toEqual(1);
  });
});

async function startStore() {
  const server = new FakeStoreServer();
  await new Promise<void>((resolve) =>
    server.server.listen(0, "127.0.0.1", resolve)
  );
  cleanups.push(() => {
    server.server.close();
    server.server.closeAllConnections();
  });
  const { port } = server.server.address() as AddressInfo;
  const raised: EraChange[] = [];
  const odd: OddEra[] = [];
  const { log } = createPlatformPorts({
    storeAddress: `127.0.0.1:${port}`,
    onEraRaised: (change) => raised.push(change),
    onOddEra: (problem) => odd.push(problem),
  });
  return { server, log, raised, odd };
}

/** Appends a record at the end of the topic; returns the page behind it. */
async function appendOnce(log: KeyedLog) {
  const { nextOffset: at } = await run(log.readNewest(TOPIC));
  await run(log.append(TOPIC, { ...RECORD, at }));
  return run(log.readNewest(TOPIC));
}

function run<Value, Failure>(effect: Effect.Effect<Value, Failure>) {
  return Effect.runPromise(effect);
}
