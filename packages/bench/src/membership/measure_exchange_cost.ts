import {
  type AdminHandlerOptions,
  createAdminHandler,
  type ExchangeMessage,
  TrpcPeerTransport,
} from "celerytray";
import { Effect } from "effect";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** Cost of one exchange without its message bodies. */
export interface ExchangeCost {
  readonly requestOverheadBytes: number;
  readonly answerOverheadBytes: number;
  /** CPU time of both ends together. */
  readonly processorMs: number;
}

const WARM_UP_CALLS = 200;
const MEASURED_CALLS = 1_000;
const PEER_SECRET = "bench-peer-secret-0";

const MESSAGE: ExchangeMessage = {
  sender: {
    instanceId: "entry-0",
    adminAddress: "127.0.0.1:10000",
    incarnation: 1_780_000_000_000,
    state: "alive",
  },
  updates: [],
  configVersion: 15_000,
  configNextOffset: 15_000,
  demand: [],
  leaving: [],
  logAgeMs: 500,
};

/** Measures exchanges over loopback with the admin server that entry instances run. */
export async function measureExchangeCost(): Promise<ExchangeCost> {
  const runtime = await Effect.runPromise(Effect.context<never>());
  const server = createServer(createAdminHandler({
    secrets: {
      operatorToken: "bench-operator-token",
      viewerToken: undefined,
      peerSecret: PEER_SECRET,
    },
    runtime,
    operations: {} as AdminHandlerOptions["operations"],
    peers: {
      exchange: () => Effect.succeed(MESSAGE),
      offerConfig: () => Effect.succeed(false),
      probe: () => Effect.succeed(false),
    },
  }));
  const sockets = new Set<Socket>();
  server.on("connection", (socket) => sockets.add(socket));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const transport = new TrpcPeerTransport({ secret: PEER_SECRET });
  const exchange = (count: number) =>
    Effect.runPromise(
      Effect.repeat(transport.exchange(address, MESSAGE), { times: count - 1 }),
    );
  await exchange(WARM_UP_CALLS);
  const before = countBytes(sockets);
  const start = process.cpuUsage();
  await exchange(MEASURED_CALLS);
  const { user, system } = process.cpuUsage(start);
  const after = countBytes(sockets);
  server.close();
  server.closeAllConnections();
  const bodyBytes = Buffer.byteLength(JSON.stringify(MESSAGE));
  const perCall = (bytes: number) => Math.round(bytes / MEASURED_CALLS);
  return {
    requestOverheadBytes: perCall(after.read - before.read) - bodyBytes,
    answerOverheadBytes: perCall(after.written - before.written) - bodyBytes,
    processorMs: Number(
      ((user + system) / 1_000 / MEASURED_CALLS).toPrecision(3),
    ),
  };
}

function countBytes(sockets: ReadonlySet<Socket>) {
  let read = 0;
  let written = 0;
  for (const socket of sockets) {
    read += socket.bytesRead;
    written += socket.bytesWritten;
  }
  return { read, written };
}
