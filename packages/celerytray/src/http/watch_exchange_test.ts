import { expect } from "earl";
import { request } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { watchExchange } from "./watch_exchange.ts";

const HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNSIZED_HEAD = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKS = "3\r\nabc\r\n3\r\ndef\r\n";
const LAST_CHUNK = "0\r\n\r\n";
const NO_CHUNK_SIZE = "zz\r\n";
const FOREIGN_BYTES = "bytes of no response\r\n\r\n";
const PAUSE_MS = 30;
/** Time in which an exchange ends that ends at all. */
const MAX_EXCHANGE_MS = 2_000;
/** Time in which more than one end would show. */
const SETTLE_MS = 60;

describe("watchExchange", () => {
  // Guards against a failure that overtakes bytes of the same read.
  it("reports a failure after the bytes that arrived before it", async () => {
    expect(await listSteps(`${HEAD}${CHUNKS}${NO_CHUNK_SIZE}`))
      .toEqual(["abc", "def", "failed"]);
  });

  // Guards against a complete response that counts as failed.
  it("reports none for bytes after a complete response", async () => {
    const bytes = `${HEAD}${CHUNKS}${LAST_CHUNK}${FOREIGN_BYTES}`;
    expect(await listSteps(bytes)).toEqual(["abc", "def", "complete"]);
    expect(await listSteps(bytes, { isPaused: true }))
      .toEqual(["abc", "def", "complete"]);
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

  // Guards against a body that ends with its connection and counts as complete,
  // or of which no end is told, as the connection was reset.
  it("reports a response without a length that is reset later", async () => {
    const end = (socket: Socket) => {
      setTimeout(() => socket.resetAndDestroy(), PAUSE_MS);
    };
    expect(await listSteps(UNSIZED_HEAD, { end })).toEqual(["failed"]);
    expect(await listSteps(`${UNSIZED_HEAD}abc`, { end }))
      .toEqual(["abc", "failed"]);
  });

  // Guards against a part that counts as the whole: a coding other than chunked
  // declares no end.
  it("reports a response in another coding that is reset later", async () => {
    const end = (socket: Socket) => {
      setTimeout(() => socket.resetAndDestroy(), PAUSE_MS);
    };
    for (const coding of ["identity", "gzip", "chunked, gzip"]) {
      const head = `HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n`;
      expect(await listSteps(`${head}abc`, { end })).toEqual(["abc", "failed"]);
    }
  });

  it("reports a response that ends with its connection as complete", async () => {
    const end = (socket: Socket) => {
      socket.end();
    };
    expect(await listSteps(`${UNSIZED_HEAD}abc`, { end }))
      .toEqual(["abc", "complete"]);
  });

  // Guards against a response without a body whose end is awaited.
  it("reports the response to a HEAD request as complete", async () => {
    expect(await listSteps(UNSIZED_HEAD, { method: "HEAD" }))
      .toEqual(["complete"]);
  });

  // Guards against an exchange of which Node tells only that it is closed.
  it("reports a change of the protocol that nobody asked for", async () => {
    const head = "HTTP/1.1 101 Switching Protocols\r\n" +
      "Connection: upgrade\r\nUpgrade: x\r\n\r\n";
    expect(await listSteps(head)).toEqual(["failed"]);
  });

  it("reports bytes that are no response", async () => {
    expect(await listSteps(FOREIGN_BYTES)).toEqual(["failed"]);
  });
});

interface Peer {
  readonly method?: string;
  /** Whether the response is paused at first. */
  readonly isPaused?: boolean;
  /** Called after the bytes were written. */
  readonly end?: (socket: Socket) => void;
}

/** Sends a request that is answered with the given bytes in one write. */
async function listSteps(
  bytes: string,
  { isPaused = false, end = () => {}, method = "GET" }: Peer = {},
): Promise<readonly string[]> {
  const steps: string[] = [];
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => socket.write(bytes, () => end(socket)));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const sent = request({ host: "127.0.0.1", port, agent: false, method });
  const ended = new Promise<void>((resolve) => {
    watchExchange(sent, {
      onFailure: () => {
        steps.push("failed");
        resolve();
      },
      onResponse: (response) => {
        response.on("data", (chunk) => steps.push(String(chunk)));
        if (isPaused) {
          response.pause();
          setTimeout(() => response.resume(), PAUSE_MS);
        }
        return () => {
          steps.push("complete");
          resolve();
        };
      },
    });
  });
  sent.end();
  await Promise.race([
    ended,
    sleep(MAX_EXCHANGE_MS, undefined, { ref: false }),
  ]);
  await sleep(SETTLE_MS);
  sent.destroy();
  server.close();
  return steps;
}
