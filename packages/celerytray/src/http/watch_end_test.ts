import { expect } from "earl";
import { type IncomingMessage, request } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { watchResponseEnd } from "./watch_end.ts";

const HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

describe("watchEnd", () => {
  it("takes an end of the connection for the end of the answer", async () => {
    expect(await exchange((socket) => socket.end(`${HEAD}hello`)))
      .toEqual(true);
  });

  it("tells a reset that comes together with the last bytes", async () => {
    const isWhole = await exchange((socket) =>
      socket.write(`${HEAD}hel`, () => socket.resetAndDestroy())
    );
    expect(isWhole).toEqual(false);
  });

  it("tells a reset that comes after the last bytes", async () => {
    const isWhole = await exchange((socket) => {
      socket.write(`${HEAD}hel`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    expect(isWhole).toEqual(false);
  });

  it("tells an answer that is shorter than its length", async () => {
    const isWhole = await exchange((socket) =>
      socket.end("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello")
    );
    expect(isWhole).toEqual(false);
  });
});

/** Whether an answer that a server writes by hand came whole. */
async function exchange(answer: (socket: Socket) => void): Promise<boolean> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const isWhole = await new Promise<boolean>((resolve) => {
    const sent = request({ host: "127.0.0.1", port, agent: false });
    sent.on("error", () => resolve(false));
    sent.on("response", (response: IncomingMessage) => {
      response.on("error", () => resolve(false));
      response.on("data", () => {});
      watchResponseEnd(response, resolve);
    });
    sent.end();
  });
  server.close();
  return isWhole;
}
