import { expect } from "earl";
import { Effect, Fiber } from "effect";
import { IncomingMessage, ServerResponse } from "node:http";
import { once } from "node:events";
import { type AddressInfo, createServer, Socket } from "node:net";
import { it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
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
  const sink = new CompletionSink({
    requestId: REQUEST_ID,
    response: new ServerResponse(new IncomingMessage(new Socket())),
    isStream: true,
  });
  const outcome = await Effect.runPromise(runAttempt(address, sink));
  expect(outcome.kind).toEqual("cut");
  await once(connections[0]!, "close", { signal: AbortSignal.timeout(1_000) });
});

// Guards against tokens that are written after the attempt was interrupted, with
// an error that ends the process where the caller's response has ended: the
// engine has closed its connection, and the rest waits for a slow caller.
it("writes nothing after its interruption", async () => {
  const chunks = [0, 1, 2].map((token) => {
    const data = JSON.stringify({ choices: [{ delta: {} }] });
    const event = `id: ${REQUEST_ID}:${token}\ndata: ${data}\n\n`;
    return `${event.length.toString(16)}\r\n${event}\r\n`;
  });
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () =>
      socket.end(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
          `${chunks.join("")}0\r\n\r\n`,
      ));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const sink = new SlowSink();
  const fiber = Effect.runFork(runAttempt(`127.0.0.1:${port}`, sink));
  await sleep(SETTLE_MS);
  expect(sink.nextIndex).toEqual(1);
  await Effect.runPromise(Fiber.interrupt(fiber));
  sink.drain();
  await sleep(SETTLE_MS);
  server.close();
  expect(sink.nextIndex).toEqual(1);
});

const REQUEST_ID = "req-1";
/** Time in which a short response is read and its connection closed. */
const SETTLE_MS = 50;

function runAttempt(headAddress: string, sink: CompletionSink) {
  return runStreamAttempt({
    requestId: REQUEST_ID,
    replica: {
      replicaId: "r",
      fencingNumber: 1,
      headAddress,
      availabilityZone: "z",
      reportedRequests: 0,
      sentSinceReport: 0,
    },
    body: "{}",
    sink,
    pools: new BackendPools(),
    idleTimeoutMs: 2_000,
  });
}

/** A sink whose caller doesn't keep up with its first token. */
class SlowSink extends CompletionSink {
  drain: () => void = () => {};

  constructor() {
    super({
      requestId: REQUEST_ID,
      response: new ServerResponse(new IncomingMessage(new Socket())),
      isStream: true,
    });
  }

  override flush(): boolean {
    return false;
  }

  override onDrained(resume: () => void): void {
    this.drain = resume;
  }
}
