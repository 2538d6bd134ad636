import { Effect, Fiber } from "effect";
import {
  createServer,
  type IncomingMessage,
  request,
  type RequestListener,
  type Server,
} from "node:http";
import {
  type AddressInfo,
  createServer as createRawServer,
  type Server as RawServer,
  type Socket,
} from "node:net";
import { after } from "node:test";
import { steadyMs } from "../clock/index.ts";
import { HEADER_NAMES } from "../platform/words.ts";
import type { CallAdmission } from "./admission/index.ts";
import type { CallRecord, ServingDependencies } from "./call_context.ts";
import { CallerExchange } from "./exchange/index.ts";
import type { ServingTarget } from "./choose_target.ts";
import { createTestDependencies } from "./create_test_dependencies.ts";
import type { LoadTracker } from "./load_tracker.ts";
import type { PaceTracker } from "./pace_tracker.ts";
import { SharedRetryBudget } from "./shared_retry_budget.ts";
import { serveCall } from "./serve_call.ts";
import type { ServingRoute } from "./serving_config.ts";
import { ServingIndex } from "./serving_index.ts";
import type { StallDetector } from "./stall_detector.ts";

const HOST = "127.0.0.1";
const KEY = "key-1";
const DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
const servers: Server[] = [];
const rawServers: RawServer[] = [];
const rawSockets: Socket[] = [];

after(() => {
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
  for (const socket of rawSockets) socket.destroy();
  for (const server of rawServers) server.close();
});

/** A route of the entry server. */
export const testRoute: ServingRoute = {
  name: "route",
  host: "a.example",
  pathPrefix: "/safe/",
  retryPolicy: "safe",
  isStream: false,
  timeoutMs: 2_000,
  targetMs: 100,
  priority: 1,
  targets: [{ service: "dispatcher", weight: 1 }],
  maxAttempts: 2,
  isPublic: false,
};
const ROUTES: readonly ServingRoute[] = [
  testRoute,
  {
    ...testRoute,
    name: "once",
    pathPrefix: "/once/",
    retryPolicy: "once",
    maxAttempts: 1,
  },
  {
    ...testRoute,
    name: "stream",
    pathPrefix: "/stream/",
    retryPolicy: "resumable",
    isStream: true,
    maxSilenceMs: 1_000,
  },
];

export function readNowMs(): number {
  return Effect.runSync(steadyMs);
}

export function idOf(incoming: IncomingMessage): string {
  return String(incoming.headers[HEADER_NAMES.callId]);
}

export const respondDone: RequestListener = (incoming, response) => {
  response.writeHead(200, {
    [HEADER_NAMES.callId]: idOf(incoming),
    [HEADER_NAMES.stamp]: "s",
  }).end("done");
};

export async function startBackend(
  listener: RequestListener,
): Promise<ServingTarget> {
  const port = await start(listener);
  return {
    instanceId: `i-${port}`,
    address: `${HOST}:${port}`,
    zone: "z",
    slots: 4,
    epoch: 0,
  };
}

/** Starts a back end that writes its responses to the socket directly. */
export async function startRawBackend(
  onConnection: (socket: Socket) => void,
): Promise<ServingTarget> {
  const server = createRawServer((socket) => {
    socket.on("error", () => {});
    rawSockets.push(socket);
    onConnection(socket);
  });
  rawServers.push(server);
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const address = `${HOST}:${port}`;
  return { instanceId: `i-${port}`, address, zone: "z", slots: 4, epoch: 0 };
}

/** A retry budget that asks a function of the test. */
class StubRetryBudget extends SharedRetryBudget {
  readonly #trySpend: () => boolean;

  constructor(trySpend: () => boolean) {
    super({
      share: 0,
      slackRequests: 0,
      windowMs: 1_000,
      countMachines: () => 1,
      sharedTotals: () => undefined,
      totalsLagMs: () => 0,
      startedAtMs: Number.NEGATIVE_INFINITY,
      random: () => 0,
    });
    this.#trySpend = trySpend;
  }

  override trySpend(): boolean {
    return this.#trySpend();
  }
}

export interface EntryOptions {
  readonly backends: readonly ServingTarget[];
  readonly isConfigured?: boolean;
  readonly areKeysFresh?: boolean;
  readonly isConfigCurrent?: boolean;
  readonly loads?: LoadTracker;
  readonly stalls?: StallDetector;
  readonly paces?: PaceTracker;
  readonly queueWaits?: ServingDependencies["queueWaits"];
  readonly admission?: CallAdmission;
  readonly noteLeaving?: ServingDependencies["noteLeaving"];
  readonly agentFor?: ServingDependencies["agentFor"];
  /** Whether the retry budget covers a retry. */
  readonly trySpend?: () => boolean;
  readonly onFault?: ServingDependencies["onFault"];
  readonly onMalformedHeaders?: ServingDependencies["onMalformedHeaders"];
  readonly onLateEvent?: ServingDependencies["onLateEvent"];
  readonly record?: ServingDependencies["record"];
  readonly lag?: ServingDependencies["lag"];
  readonly maxHeaderBytes?: number;
  /** Timeout of all routes. */
  readonly timeoutMs?: number;
  readonly held?: ServingDependencies["held"];
  readonly onWithheld?: ServingDependencies["onWithheld"];
  readonly findExclusionReason?: ServingDependencies["findExclusionReason"];
  readonly coldLimiter?: ServingDependencies["coldLimiter"];
  readonly quarantine?: ServingDependencies["quarantine"];
  readonly aliveCheck?: ServingDependencies["aliveCheck"];
  readonly isClosing?: ServingDependencies["isClosing"];
  readonly onAttemptEnded?: ServingDependencies["onAttemptEnded"];
  readonly links?: ServingDependencies["links"];
  readonly gateways?: ServingDependencies["gateways"];
  /** Home regions of all routes and of the organisation. */
  readonly homes?: Readonly<Record<"route" | "tenant", readonly string[]>>;
}

/** Starts an entry server on a free port. */
export function startEntry(options: EntryOptions): Promise<number> {
  return start(createEntry(options), options.maxHeaderBytes);
}

/** Starts an entry server on a Unix domain socket. */
export async function startLocalEntry(
  options: EntryOptions,
  path: string,
): Promise<void> {
  const server = createServer(createEntry(options));
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(path, resolve));
}

function createEntry(options: EntryOptions): RequestListener {
  const {
    backends,
    isConfigured,
    areKeysFresh,
    isConfigCurrent,
    trySpend,
    timeoutMs,
    homes,
    maxHeaderBytes: _maxHeaderBytes,
    ...overrides
  } = options;
  const index = new ServingIndex({
    version: 1,
    routes: ROUTES.map((route) => ({
      ...route,
      timeoutMs: timeoutMs ?? route.timeoutMs,
      ...(homes === undefined ? {} : { homes: homes.route }),
    })),
    services: new Map(),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_024,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{
      name: "tenant-1",
      keys: [KEY],
      ...(homes === undefined ? {} : { homes: homes.tenant }),
    }],
  });
  const records: CallRecord[] = [];
  const dependencies = createTestDependencies({
    index: () => isConfigured === false ? undefined : index,
    areKeysFresh: () => areKeysFresh !== false,
    isConfigCurrent: () => isConfigCurrent !== false,
    listTargets: () => backends,
    record: (record) => records.push(record),
    ...overrides,
    ...(trySpend === undefined
      ? {}
      : { retryBudget: new StubRetryBudget(trySpend) }),
  });
  return createHandler(dependencies);
}

function createHandler(dependencies: ServingDependencies): RequestListener {
  return (incoming, response) => {
    const relay = dependencies.codec.decodeRelay(incoming);
    const exchange = new CallerExchange({
      request: incoming,
      response,
      codec: dependencies.codec,
      arrivedAtMs: readNowMs(),
      turn: Effect.void,
      isClosing: () => false,
      held: dependencies.held,
      ...(relay === undefined ? {} : { relay }),
    });
    const fiber = Effect.runFork(serveCall(exchange, dependencies));
    response.on("close", () => {
      if (!exchange.hasEnded) Effect.runFork(Fiber.interrupt(fiber));
    });
  };
}

async function start(
  listener: RequestListener,
  maxHeaderBytes = DEFAULT_MAX_HEADER_BYTES,
): Promise<number> {
  const server = createServer({ maxHeaderSize: maxHeaderBytes }, listener);
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  return (server.address() as AddressInfo).port;
}

export interface CallResponse {
  readonly status: number;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  readonly isComplete: boolean;
}

let callCount = 0;

export function call(
  port: number,
  path: string,
  extraHeaders: Readonly<Record<string, string>> = {},
): Promise<CallResponse> {
  callCount += 1;
  const sent = request({
    host: HOST,
    port,
    path,
    method: "POST",
    agent: false,
    headers: {
      host: "a.example",
      [HEADER_NAMES.callId]: `call-${callCount}`,
      [HEADER_NAMES.deadline]: "2000",
      [HEADER_NAMES.apiKey]: KEY,
      ...extraHeaders,
    },
  });
  return new Promise((resolve, reject) => {
    sent.on("error", reject);
    sent.on("response", (response) => {
      let body = "";
      response.setEncoding("utf8");
      response.on("data", (text) => body += text);
      response.on("error", () => {});
      response.on("close", () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body,
          isComplete: response.complete,
        }));
    });
    sent.end("body");
  });
}
