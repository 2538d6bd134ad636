import { expect } from "earl";
import { Effect } from "effect";
import { Agent } from "node:http";
import { describe, it } from "node:test";
import { PooledFetch } from "./pooled_fetch.ts";
import { requestJson } from "./request_json.ts";
import {
  createRawResponse,
  FOREIGN_BYTES,
  startRawServer,
} from "./test_raw_server.ts";

const CUT_RESPONSE =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\nzz\r\n";

const ABORT_MS = 50;
/** More than any client of JSON or text reads. */
const OVERSIZED_BODY = "x".repeat(64 * 1024 * 1024 + 10);

describe("PooledFetch", () => {
  // Guards against a process that counts as silent though it replied.
  it("returns a response with foreign bytes behind it", async () => {
    const { address, connections } = await startRawServer(() =>
      createRawResponse({ body: "{}" }) + FOREIGN_BYTES
    );
    const client = new PooledFetch();
    for (let call = 0; call < 2; call++) {
      const response = await client.fetch(`http://${address}/`);
      expect([response.status, await response.text()]).toEqual([200, "{}"]);
    }
    expect(connections.length).toEqual(2);
  });

  // Guards against a response that is cut off and counts as a whole one.
  it("rejects a response that foreign bytes cut off", async () => {
    const { address } = await startRawServer(() => CUT_RESPONSE);
    const call = new PooledFetch().fetch(`http://${address}/`);
    await expect(call).toBeRejectedWith("Parse Error");
  });

  // Guards against the first part of a response that counts as the whole one.
  it("rejects a response over its limit", async () => {
    const { address } = await startRawServer(() =>
      createRawResponse({ body: OVERSIZED_BODY })
    );
    const call = new PooledFetch().fetch(`http://${address}/`);
    await expect(call).toBeRejectedWith("exceeds");
  });

  it("rejects a call that is aborted while its response is read", async () => {
    const { address } = await startRawServer(() =>
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}"
    );
    const call = new PooledFetch().fetch(`http://${address}/`, {
      signal: AbortSignal.timeout(ABORT_MS),
    });
    await expect(call).toBeRejected();
  });
});

describe("requestJson", () => {
  // Guards against the first part of a response that is parsed as the whole one.
  it("fails for a response over its limit", async () => {
    const { address } = await startRawServer(() =>
      createRawResponse({ body: OVERSIZED_BODY })
    );
    const failure = await Effect.runPromise(
      Effect.flip(requestJson({ url: `http://${address}/` })),
    );
    expect([failure.reason, failure.message.includes("exceeds")])
      .toEqual(["answer-lost", true]);
  });

  const appended = createRawResponse({ body: '{"firstOffset":7}' });

  // Guards against an acknowledged append to the log that counts as lost, and an
  // engine or an instance list that counts as out of reach though it answered.
  for (const keepAlive of [false, true]) {
    const connections = keepAlive ? "kept" : "new";
    it(`returns a response with foreign bytes behind it (${connections} connections)`, async () => {
      const server = await startRawServer(() => appended + FOREIGN_BYTES);
      const agent = new Agent({ keepAlive });
      const url = `http://${server.address}/`;
      for (let call = 0; call < 2; call++) {
        const body = await Effect.runPromise(requestJson({ url, agent }));
        expect(body).toEqual({ firstOffset: 7 });
      }
      expect(server.connections.length).toEqual(2);
    });
  }

  // Guards against a refusal, after which nothing took effect, that counts as a
  // lost answer.
  it("fails as refused for a refusal with foreign bytes behind it", async () => {
    const { address } = await startRawServer(() =>
      createRawResponse({ status: 503, body: "{}" }) + FOREIGN_BYTES
    );
    const call = requestJson({ url: `http://${address}/`, body: {} });
    const failure = await Effect.runPromise(Effect.flip(call));
    expect([failure.reason, failure.status]).toEqual(["refused", 503]);
  });

  it("loses a response that foreign bytes cut off", async () => {
    const { address } = await startRawServer(() => CUT_RESPONSE);
    const call = requestJson({ url: `http://${address}/` });
    const failure = await Effect.runPromise(Effect.flip(call));
    expect(failure.reason).toEqual("answer-lost");
  });
});
