import { Effect } from "effect";
import { expect } from "earl";
import { Agent, createServer } from "node:http";
import { type AddressInfo, Socket } from "node:net";
import { describe, it } from "node:test";
import { requestJson } from "./request_json.ts";

const CALLS = 20;

describe("requestJson", () => {
  it("leaves no listeners on a connection that is shared by many calls", async () => {
    const sockets = new Set<Socket>();
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    agent.on("free", (socket: Socket) => sockets.add(socket));
    const server = createServer((_, response) => response.end("{}"));
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    for (let call = 0; call < CALLS; call++) {
      await Effect.runPromise(
        requestJson({ url: `http://127.0.0.1:${port}/`, agent }),
      );
    }
    agent.destroy();
    server.close();
    expect(sockets.size).toEqual(1);
    const [socket] = sockets;
    expect(socket!.listenerCount("connect")).toEqual(0);
  });
});
