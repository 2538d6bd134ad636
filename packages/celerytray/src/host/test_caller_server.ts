import { Effect, Exit, Scope } from "effect";
import { createServer, type RequestListener } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { after } from "node:test";
import {
  createTestDependencies,
  type TestDependencies,
} from "../serving/create_test_dependencies.ts";
import {
  type CallRecord,
  ServingIndex,
  type ServingTarget,
} from "../serving/index.ts";
import { createCallerServer } from "./caller_server.ts";

const HOST = "127.0.0.1";
/** Limit of the server on the headers of a request. */
export const MAX_HEADER_BYTES = 4_096;
const closers: (() => unknown)[] = [];

after(async () => {
  for (const close of closers.reverse()) await close();
});

/** Starts a back end and a server for callers that forwards to it. */
export async function startEntry(
  listener: RequestListener,
  own: Partial<TestDependencies> = {},
) {
  const backend = createServer(listener);
  await new Promise<void>((resolve) => backend.listen(0, HOST, resolve));
  closers.push(() => {
    backend.close();
    backend.closeAllConnections();
  });
  const { port: backendPort } = backend.address() as AddressInfo;
  const target: ServingTarget = {
    instanceId: "i-1",
    address: `${HOST}:${backendPort}`,
    zone: "z",
    slots: 4,
    epoch: 0,
  };
  const records: CallRecord[] = [];
  const scope = Effect.runSync(Scope.make());
  closers.push(() => Effect.runPromise(Scope.close(scope, Exit.void)));
  const port = await findFreePort();
  await Effect.runPromise(
    createCallerServer({
      address: `${HOST}:${port}`,
      idleTimeoutMs: 5_000,
      headerTimeoutMs: 3_000,
      maxHeaderBytes: MAX_HEADER_BYTES,
      dependencies: createTestDependencies({
        index: () => INDEX,
        listTargets: () => [target],
        record: (record) => records.push(record),
        ...own,
      }),
    }).pipe(Scope.provide(scope)),
  );
  return { port, records, instanceId: target.instanceId };
}

const INDEX = new ServingIndex({
  version: 1,
  services: new Map(),
  limits: {
    maxHeaderBytes: MAX_HEADER_BYTES,
    maxBodyBytes: 1_024,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 5_000,
  },
  routes: [{
    name: "stream",
    host: "a.example",
    pathPrefix: "/s/",
    retryPolicy: "resumable",
    isStream: true,
    timeoutMs: 2_000,
    targetMs: 100,
    priority: 1,
    targets: [{ service: "drafts", weight: 1 }],
    maxAttempts: 1,
    isPublic: true,
  }],
});

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Opens a connection that the test closes at its end. */
export function openSocket(port: number): Socket {
  const socket = connect(port, HOST);
  socket.on("error", () => {});
  closers.push(() => socket.destroy());
  return socket;
}

/** Sends bytes and reads until the connection ends or an answer is whole. */
export function exchange(port: number, bytes: string): Promise<string> {
  const socket = openSocket(port);
  let text = "";
  return new Promise((resolve) => {
    socket.on("data", (chunk) => text += chunk.toString());
    socket.on("close", () => resolve(text));
    socket.write(bytes);
  });
}
