import { expect } from "earl";
import { Effect } from "effect";
import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { it } from "node:test";
import { runPlainAttempt } from "./plain_attempt.ts";

it("writes nothing when the dispatch deadline passed while connecting", async () => {
  let receivedBytes = 0;
  const ended: Promise<unknown>[] = [];
  const server = createServer((socket: Socket) => {
    socket.on("data", (chunk) => receivedBytes += chunk.length);
    socket.on("error", () => {});
    ended.push(new Promise((resolve) => socket.once("close", resolve)));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const connected = once(server, "connection");
  const outcome = await Effect.runPromise(runPlainAttempt({
    address: `127.0.0.1:${port}`,
    method: "POST",
    path: "/bookings",
    headers: {},
    body: Buffer.from("{}"),
    requestId: "req-1",
    timeoutMs: 2_000,
    mayDispatch: () => false,
  }));
  await connected;
  await Promise.all(ended);
  server.close();
  expect(outcome.kind).toEqual("not-run");
  expect(receivedBytes).toEqual(0);
});
