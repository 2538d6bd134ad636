import { expect } from "earl";
import type { RequestListener } from "node:http";
import { describe, it } from "node:test";
import { call, respondDone, startBackend, startEntry } from "./test_entry.ts";
import { portOf, startCutEntry } from "./test_relay.ts";

/** What a process answers that knows of no relayed requests. */
const answerAsEarlier: RequestListener = (incoming, response) => {
  incoming.resume();
  response.writeHead(404, { "content-type": "application/json" })
    .end('{"error":{"code":-32004,"data":{"code":"NOT_FOUND"}}}');
};

describe("a relayed request", () => {
  // Guards against a 404 of another process that callers get as a back end's
  // answer (DENIED): the one at a gateway's address is of an earlier version.
  it("is served if a process of an earlier version took a gateway's place", async () => {
    const backend = await startBackend(respondDone);
    const sound = await startEntry({ backends: [backend] });
    const earlier = portOf(await startBackend(answerAsEarlier));
    const cut = await startCutEntry([earlier, sound]);
    const statuses: number[] = [];
    for (let index = 0; index < 8; index += 1) {
      statuses.push((await call(cut, "/safe/a")).status);
    }
    expect(statuses).toEqual(Array.from({ length: 8 }, () => 200));
  });
});
