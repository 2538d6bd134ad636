import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { after } from "node:test";

const HOST = "127.0.0.1";
const servers: Server[] = [];
const sockets: Socket[] = [];

after(() => {
  for (const socket of sockets) socket.destroy();
  for (const server of servers) server.close();
});

/** Bytes that no HTTP message begins with. */
export const FOREIGN_BYTES = "bytes of no response\r\n\r\n";

/** A server of a test, and what it was sent. */
export interface RawServer {
  /** IP:PORT. */
  readonly address: string;
  /** What each read of a connection brought. */
  readonly requests: readonly string[];
  readonly connections: readonly Socket[];
}

/** Starts a server that answers each read with the given bytes in one write. */
export async function startRawServer(
  respond: (request: string, index: number) => string,
): Promise<RawServer> {
  const requests: string[] = [];
  const connections: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    connections.push(socket);
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      const request = bytes.toString();
      requests.push(request);
      socket.write(respond(request, requests.length - 1));
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  return { address: `${HOST}:${port}`, requests, connections };
}

/** Creates a response with a declared length. */
export function createRawResponse(options: {
  readonly status?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body: string;
}): string {
  const { status = 200, headers = {}, body } = options;
  return [
    `HTTP/1.1 ${status} Status`,
    `Content-Length: ${Buffer.byteLength(body)}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    "",
    body,
  ].join("\r\n");
}
