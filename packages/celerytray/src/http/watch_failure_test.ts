import { expect } from "earl";
import { request } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { watchFailure } from "./watch_failure.ts";

const HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNKS = "3\r\nabc\r\n3\r\ndef\r\n";
const LAST_CHUNK = "0\r\n\r\n";
const NO_CHUNK_SIZE = "zz\r\n";
const FOREIGN_BYTES = "bytes of no response\r\n\r\n";
const PAUSE_MS = 30;
const SETTLE_MS = 60;

describe("watchFailure", () => {
  // Guards against a failure that overtakes bytes of the same read.
  it("reports a failure after the bytes that arrived before it", async () => {
    expect(await listSteps(`${HEAD}${CHUNKS}${NO_CHUNK_SIZE}`))
      .toEqual(["abc", "def", "failed"]);
  });

  // Guards against a complete response that counts as failed.
  it("reports none for bytes after a complete response", async () => {
    const bytes = `${HEAD}${CHUNKS}${LAST_CHUNK}${FOREIGN_BYTES}`;
    expect(await listSteps(bytes)).toEqual(["abc", "def", "end"]);
    expect(await listSteps(bytes, { isPaused: true }))
      .toEqual(["abc", "def", "end"]);
  });

  it("reports a paused response that is cut once, and nothing of it after", async () => {
    const bytes = `${HEAD}${CHUNKS}${NO_CHUNK_SIZE}`;
    expect(await listSteps(bytes, { isPaused: true })).toEqual(["failed"]);
  });

  it("reports a connection that closes or resets", async () => {
    const close = (socket: Socket) => socket.destroy();
    const reset = (socket: Socket) => socket.resetAndDestroy();
    for (const end of [close, reset]) {
      expect(await listSteps(HEAD + CHUNKS, { end }))
        .toEqual(["abc", "def", "failed"]);
      expect(await listSteps("", { end })).toEqual(["failed"]);
    }
  });

  it("reports bytes that are no response", async () => {
    expect(await listSteps(FOREIGN_BYTES)).toEqual(["failed"]);
  });
});

interface Peer {
  /** Whether the response is paused at first. */
  readonly isPaused?: boolean;
  /** Called after the bytes were written. */
  readonly end?: (socket: Socket) => void;
}

/** Sends a request that is answered with the given bytes in one write. */
async function listSteps(
  bytes: string,
  { isPaused = false, end = () => {} }: Peer = {},
): Promise<readonly string[]> {
  const steps: string[] = [];
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => socket.write(bytes, () => end(socket)));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const sent = request({ host: "127.0.0.1", port, agent: false });
  watchFailure(sent, () => steps.push("failed"));
  sent.on("response", (response) => {
    response.on("data", (chunk) => steps.push(String(chunk)));
    response.on("end", () => steps.push("end"));
    if (!isPaused) return;
    response.pause();
    setTimeout(() => response.resume(), PAUSE_MS);
  });
  sent.end();
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  sent.destroy();
  server.close();
  return steps;
}
