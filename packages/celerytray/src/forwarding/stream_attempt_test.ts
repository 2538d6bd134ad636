import { expect } from "earl";
import { Effect } from "effect";
import { IncomingMessage, ServerResponse } from "node:http";
import { once } from "node:events";
import { Socket } from "node:net";
import { it } from "node:test";
import { BackendPools } from "../http/index.ts";
import { startRawServer } from "../http/test_raw_server.ts";
import { CompletionSink } from "./completion_sink.ts";
import { runStreamAttempt } from "./stream_attempt.ts";

// Guards against an engine that goes on with a request that no one waits for.
it("closes the connection of a response that it gives up", async () => {
  const event = "id: other:0\ndata: {}\n\n";
  const { address, connections } = await startRawServer(() =>
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
    `${event.length.toString(16)}\r\n${event}\r\n`
  );
  const outcome = await Effect.runPromise(runStreamAttempt({
    requestId: "req-1",
    replica: {
      replicaId: "r",
      fencingNumber: 1,
      headAddress: address,
      availabilityZone: "z",
      reportedRequests: 0,
      sentSinceReport: 0,
    },
    body: "{}",
    sink: new CompletionSink({
      requestId: "req-1",
      response: new ServerResponse(new IncomingMessage(new Socket())),
      isStream: true,
    }),
    pools: new BackendPools(),
    idleTimeoutMs: 2_000,
  }));
  expect(outcome.kind).toEqual("cut");
  await once(connections[0]!, "close", { signal: AbortSignal.timeout(1_000) });
});
