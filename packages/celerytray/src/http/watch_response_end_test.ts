import { expect } from "earl";
import { type IncomingMessage, request } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { watchResponseEnd } from "./watch_response_end.ts";

const UNSIZED_HEADERS = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

describe("watchResponseEnd", () => {
  it("reports a response that ends with its connection as complete", async () => {
    expect(
      await isResponseComplete((socket) =>
        socket.end(`${UNSIZED_HEADERS}hello`)
      ),
    )
      .toEqual(true);
  });

  it("detects a reset that arrives together with the last bytes", async () => {
    const isComplete = await isResponseComplete((socket) =>
      socket.write(`${UNSIZED_HEADERS}hel`, () => socket.resetAndDestroy())
    );
    expect(isComplete).toEqual(false);
  });

  it("detects a reset that arrives after the last bytes", async () => {
    const isComplete = await isResponseComplete((socket) => {
      socket.write(`${UNSIZED_HEADERS}hel`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    expect(isComplete).toEqual(false);
  });

  it("detects a response that is shorter than its declared length", async () => {
    const isComplete = await isResponseComplete((socket) =>
      socket.end("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello")
    );
    expect(isComplete).toEqual(false);
  });
});

/** Whether a response that the given function writes to the socket is complete. */
async function isResponseComplete(
  writeResponse: (socket: Socket) => void,
): Promise<boolean> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => writeResponse(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const isComplete = await new Promise<boolean>((resolve) => {
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
  return isComplete;
}
