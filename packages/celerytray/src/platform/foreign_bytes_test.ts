import { expect } from "earl";
import { Effect } from "effect";
import { describe, it } from "node:test";
import {
  createRawResponse,
  FOREIGN_BYTES,
  startRawServer,
} from "../http/test_raw_server.ts";
import { offsetOf } from "../keyed_log/index.ts";
import { InstanceClient } from "./instance_client.ts";
import { StoreClient } from "./store_client.ts";

const OFFSET = 7;
const RECORD = { key: "k", value: Buffer.from("v") };
const ORDER = {
  kind: "leave",
  replica: "r",
  epoch: 1,
  fence: 1,
} as const;

describe("bytes of no response, in one read with a response", () => {
  // Guards against an acknowledged append that counts as lost.
  it("leave an append acknowledged", async () => {
    const { address, requests, connections } = await startRawServer(() =>
      createRawResponse({ body: `{"offset":${OFFSET}}` }) + FOREIGN_BYTES
    );
    const store = new StoreClient({ address });
    const append = store.append("fleet", RECORD);
    const positions = [
      await Effect.runPromise(append),
      await Effect.runPromise(append),
    ];
    expect(positions.map(offsetOf)).toEqual([OFFSET, OFFSET]);
    expect([requests.length, connections.length]).toEqual([2, 2]);
  });

  // Guards against a store that counts as out of reach though it answers.
  it("leave a read answered, in one call", async () => {
    const { address, requests } = await startRawServer(() =>
      createRawResponse({
        body: `{"items":[],"has_more":false,"end":${OFFSET}}`,
      }) + FOREIGN_BYTES
    );
    const store = new StoreClient({ address });
    const page = await Effect.runPromise(store.readNewest("fleet"));
    expect(offsetOf(page.nextOffset)).toEqual(OFFSET);
    expect(requests.length).toEqual(1);
  });

  // Guards against an accepted order, or a sound instance, that counts as silent.
  it("leave an order and a probe answered", async () => {
    const { address } = await startRawServer((request) =>
      createRawResponse({
        status: request.startsWith("POST") ? 202 : 200,
        body: "{}",
      }) + FOREIGN_BYTES
    );
    const client = new InstanceClient();
    const instance = { id: "i", address };
    const order = await Effect.runPromise(client.sendOrder(instance, ORDER));
    expect(order.outcome).toEqual("begun");
    const probe = await Effect.runPromise(client.probe(instance));
    expect(probe.pace.extract()).toEqual(1);
  });

  // Guards against a response that is cut off and counts as a whole one.
  it("fail a call whose response they cut off", async () => {
    const { address } = await startRawServer(() =>
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
      "2\r\n{}\r\nzz\r\n"
    );
    const store = new StoreClient({ address });
    const failure = await Effect.runPromise(
      Effect.flip(store.append("fleet", RECORD)),
    );
    expect(failure._tag).toEqual("StoreAnswerLost");
  });
});
