import { Effect, Exit, Scope } from "effect";
import { expect } from "earl";
import { createServer, type RequestListener } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { after, describe, it } from "node:test";
import { listen } from "./listen.ts";

const HOST = "127.0.0.1";
const MAX_CONNECTIONS = 3;
const REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const closers: (() => unknown)[] = [];

after(async () => {
  for (const close of closers.reverse()) await close();
});

// Guards against callers that take all connections of a process without a whole
// request, and against a request that is cut to make room.
describe("a server with a bound on connections", () => {
  it("closes the connection that has had no request for longest", async () => {
    const { open, closed } = await start((_, response) => {
      response.end("done");
    });
    const first = await open("first");
    await open("second");
    await open("third");
    first.write(REQUEST);
    await new Promise((resolve) => first.once("data", resolve));
    await open("fourth");
    await waitUntil(() => closed.length === 1);
    expect(closed).toEqual(["second"]);
  });

  it("closes no connection whose request it answers", async () => {
    const { open, closed } = await start(() => {});
    for (const name of ["first", "second"]) (await open(name)).write(REQUEST);
    (await open("third")).write("POST / HTTP/1.1\r\nContent-Length: 9\r\n");
    await pause();
    await open("fourth");
    await waitUntil(() => closed.length === 1);
    expect(closed).toEqual(["third"]);
  });

  it("closes a new connection while it answers all others", async () => {
    const { open, closed } = await start(() => {});
    for (const name of ["first", "second", "third"]) {
      (await open(name)).write(REQUEST);
    }
    await pause();
    await open("fourth");
    await waitUntil(() => closed.length === 1);
    expect(closed).toEqual(["fourth"]);
  });
});

async function start(handler: RequestListener) {
  const port = await findFreePort();
  const scope = Effect.runSync(Scope.make());
  closers.push(() => Effect.runPromise(Scope.close(scope, Exit.void)));
  await Effect.runPromise(
    listen({
      address: `${HOST}:${port}`,
      handler,
      connections: { maxConnections: MAX_CONNECTIONS, onClosed: () => {} },
    }).pipe(Scope.provide(scope)),
  );
  const closed: string[] = [];
  const open = async (name: string): Promise<Socket> => {
    const socket = connect(port, HOST);
    socket.on("error", () => {});
    socket.on("close", () => closed.push(name));
    closers.push(() => socket.destroy());
    await new Promise((resolve) => socket.once("connect", resolve));
    await pause();
    return socket;
  };
  return { open, closed };
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await pause();
}

function pause(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 20));
}
