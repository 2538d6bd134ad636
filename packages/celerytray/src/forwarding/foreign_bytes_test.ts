import { expect } from "earl";
import { Effect } from "effect";
import { createHash } from "node:crypto";
import { Agent } from "node:http";
import { describe, it } from "node:test";
import {
  createRawResponse,
  FOREIGN_BYTES,
  startRawServer,
} from "../http/test_raw_server.ts";
import { runPlainAttempt } from "./plain_attempt.ts";
import { toCallOutcome } from "./plain_outcomes.ts";

const DONE_SHA256 = createHash("sha256").update("done").digest("hex");
const CHUNKED_START =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n";
const COMPLETE_RESPONSES = {
  "with a length": createRawResponse({ body: "done" }),
  "in chunks": `${CHUNKED_START}0\r\n\r\n`,
};

describe("a call of a plain service", () => {
  // Guards against a booking that was made and answered, but whose answer is
  // neither returned nor recorded, and a safe call that runs again.
  for (const [framing, response] of Object.entries(COMPLETE_RESPONSES)) {
    for (const isKept of [false, true]) {
      const connections = isKept ? "kept" : "new";
      it(`keeps an answer with foreign bytes behind it (${framing}, ${connections} connections)`, async () => {
        const server = await startRawServer(() => response + FOREIGN_BYTES);
        const agent = isKept ? new Agent({ keepAlive: true }) : undefined;
        for (let call = 0; call < 2; call++) {
          const outcome = await book(server.address, agent);
          expect(toCallOutcome(outcome)).toEqual({
            state: "ran",
            status: 200,
            bodySha256: DONE_SHA256,
            bodyBase64: Buffer.from("done").toString("base64"),
          });
        }
        expect(server.connections.length).toEqual(2);
      });
    }
  }

  // Guards against an answer that is cut off and counts as a whole one, or as
  // none.
  it("ran if foreign bytes cut its answer off", async () => {
    const { address } = await startRawServer(() => `${CHUNKED_START}zz\r\n`);
    expect(toCallOutcome(await book(address))).toEqual({ state: "ran" });
  });

  it("is unknown if foreign bytes come instead of an answer", async () => {
    const { address } = await startRawServer(() => FOREIGN_BYTES);
    expect(toCallOutcome(await book(address))).toEqual({ state: "unknown" });
  });
});

function book(address: string, agent?: Agent) {
  return Effect.runPromise(runPlainAttempt({
    address,
    method: "POST",
    path: "/bookings",
    headers: {},
    body: Buffer.from("{}"),
    requestId: "req-1",
    timeoutMs: 2_000,
    ...(agent === undefined ? {} : { agent }),
  }));
}
