import { expect } from "earl";
import { describe, it } from "node:test";
import { PooledFetch } from "./pooled_fetch.ts";
import {
  createRawResponse,
  FOREIGN_BYTES,
  startRawServer,
} from "./test_raw_server.ts";

const CUT_RESPONSE =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\nzz\r\n";

const ABORT_MS = 50;

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
