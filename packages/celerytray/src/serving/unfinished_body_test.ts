import { expect } from "earl";
import { connect, type Socket } from "node:net";
import { after, it } from "node:test";
import { HeldBytes } from "./exchange/index.ts";
import { call, respondDone, startBackend, startEntry } from "./test_entry.ts";

/** Memory that a short body takes in chunks. */
const BLOCK_BYTES = 1024;
const sockets: Socket[] = [];

after(() => {
  for (const socket of sockets) socket.destroy();
});

// Guards against a refusal for each caller while bodies that never end hold all
// memory for bodies; what is given up is told truly.
it("refuses a body that has not ended as not run, for one that needs its memory", async () => {
  let nowMs = 0;
  const seen: string[] = [];
  const backend = await startBackend((incoming, response) => {
    seen.push(String(incoming.headers["attempt-id"]));
    respondDone(incoming, response);
  });
  const held = new HeldBytes({
    maxBytes: 2.5 * BLOCK_BYTES,
    nowMs: () => nowMs,
    onCut: () => {},
  });
  const entry = await startEntry({ backends: [backend], held });
  const unfinished = [sendUnfinished(entry), sendUnfinished(entry)];
  while (held.totalBytes < 2 * BLOCK_BYTES) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const chunked = { "transfer-encoding": "chunked" };
  expect((await call(entry, "/safe/x", chunked)).status).toEqual(503);
  nowMs = 1_000;
  expect((await call(entry, "/safe/x", chunked)).status).toEqual(200);
  for (const text of await Promise.all(unfinished)) {
    expect(text).toInclude("HTTP/1.1 503 ");
    expect(text).toInclude("was not run");
  }
  expect(seen.includes("unfinished")).toEqual(false);
});

/** Sends a part of a body; resolves with the first bytes of the answer. */
function sendUnfinished(port: number): Promise<string> {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  sockets.push(socket);
  socket.write(
    "POST /once/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: unfinished\r\n" +
      "Deadline-Ms: 2000\r\nX-Api-Key: key-1\r\n" +
      "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
  );
  return new Promise((resolve) => {
    socket.once("data", (bytes) => resolve(bytes.toString()));
  });
}
