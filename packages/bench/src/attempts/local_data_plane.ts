import type { ConfigSet } from "@celerytray/schema";
import {
  type EngineFaults,
  type FakeServer,
  type PlainFaults,
  type PlainRun,
  serveFakeEngine,
  serveFakePlainService,
} from "@celerytray/fakes";
import {
  type BackendPools,
  CallSlots,
  createAttemptState,
  createCallerHandler,
  type ForwardingClaims,
  InFlightCalls,
  listen,
  type PlainInstance,
  PowerOfTwoRouter,
  type ReadyReplica,
  type Router,
} from "celerytray";
import { Context, Effect, Exit, Scope } from "effect";
import { createHash } from "node:crypto";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Right } from "purify-ts";

/** Options of a local data plane. */
export interface LocalDataPlaneOptions {
  readonly engineCount?: number;
  readonly plainBackendCount?: number;
  readonly tokenIntervalMs?: number;
  readonly idleTimeoutMs?: number;
  readonly firstTokenDeadlineMs?: number;
  readonly plainTimeoutMs?: number;
  readonly claims?: ForwardingClaims;
  /** Selects a back end for each attempt; power of two choices by default. */
  readonly router?: Router;
  readonly maxBodyBytes?: number;
  /** Effect context in which requests are handled, such as a test clock. */
  readonly context?: Context.Context<never>;
  /** Called when an engine's stream falls silent. */
  readonly onSilent?: () => void;
  /** Called for each engine stream with the index of its first token. */
  readonly onStream?: (firstIndex: number) => void;
  /** Called for each token that an engine generates. */
  readonly onToken?: () => void;
}

/** A data plane and its fake back ends, all in this process. */
export interface LocalDataPlane {
  readonly url: string;
  readonly server: Server;
  readonly pools: BackendPools;
  readonly calls: InFlightCalls;
  /** In order of index; a closed engine refuses connections. */
  readonly engines: readonly FakeServer[];
  /** In order of index; a closed back end refuses connections. */
  readonly plainBackends: readonly FakeServer[];
  /** Attempts sent, over all requests. */
  readonly attemptCount: () => number;
  readonly setEngineFaults: (
    index: number,
    faults: EngineFaults,
  ) => Promise<void>;
  readonly setPlainFaults: (
    index: number,
    faults: PlainFaults,
  ) => Promise<void>;
  /** Lists the calls run by all plain back ends that are not closed. */
  readonly listRuns: () => Promise<PlainRun[]>;
  /** Counts the requests that run on all engines. */
  readonly countRunningStreams: () => Promise<number>;
  /** With a reason, the data plane refuses new calls as not ready. */
  readonly setNotReadyReason: (reason: string | undefined) => void;
  readonly close: () => Promise<void>;
}

/** Selects the first back end in order of index that was not tried yet. */
export const IN_ORDER_ROUTER: Router = {
  choose: (candidates, { excludedIds }) =>
    candidates.find(({ replicaId }) => excludedIds?.has(replicaId) !== true),
};

/** API key that the callers of a local data plane send. */
export const LOCAL_API_KEY = "local-key";

const ANY_PORT_ADDRESS = "127.0.0.1:0";
const DEFAULT_MAX_BODY_BYTES = 1024 * 1024;
const ZONE = "kth-a";
/** Addresses of closed plain back ends, which no longer list their calls. */
const closedAddresses = new Set<string>();

/** Starts a data plane and its fake back ends on loopback ports. */
export async function startLocalDataPlane(
  options: LocalDataPlaneOptions = {},
): Promise<LocalDataPlane> {
  const engines = await startServers(
    options.engineCount ?? 0,
    async (index) => {
      const server = await serveFakeEngine({
        address: ANY_PORT_ADDRESS,
        instanceId: `engine-${index}`,
        loadMs: 0,
        tokenIntervalMs: options.tokenIntervalMs ?? 0,
        ...(options.onSilent === undefined
          ? {}
          : { onSilent: options.onSilent }),
        ...(options.onStream === undefined
          ? {}
          : { onStream: options.onStream }),
        ...(options.onToken === undefined ? {} : { onToken: options.onToken }),
      });
      await postJson(`http://${server.address}/orders`, {
        kind: "load",
        replicaId: `replica-${index}`,
        fencingNumber: 1,
        rank: 0,
        model: "test",
      });
      return server;
    },
  );
  const plainBackends = await startServers(
    options.plainBackendCount ?? 0,
    (index) =>
      serveFakePlainService({
        address: ANY_PORT_ADDRESS,
        instanceId: `plain-${index}`,
      }),
  );
  let attemptCount = 0;
  let notReadyReason: string | undefined;
  const calls = new InFlightCalls();
  const config = createConfig(options);
  const scope = Scope.makeUnsafe();
  const attemptState = createAttemptState();
  for (const { address } of [...engines, ...plainBackends]) {
    closedAddresses.delete(address);
  }
  const server = await Effect.runPromise(
    Scope.provide(
      listen({
        address: ANY_PORT_ADDRESS,
        handlesContinue: true,
        handler: createCallerHandler({
          ...attemptState,
          availabilityZone: ZONE,
          maxBodyBytes: options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
          router: options.router ?? new PowerOfTwoRouter({ seed: 1 }),
          admission: { admit: () => Right(undefined) },
          slots: new CallSlots({ slotCountOf: () => undefined }),
          claims: options.claims ?? createGrantingClaims(),
          calls,
          config: () => config,
          notReadyReason: () => notReadyReason,
          listReadyReplicas: () => engines.map(describeReplica),
          listPlainInstances: () => plainBackends.map(describePlainInstance),
          noteSent: () => attemptCount += 1,
          noteOutcome: () => {},
          recordEvent: () => Effect.void,
        }, options.context ?? Context.empty()),
      }),
      scope,
    ),
  );
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    server,
    pools: attemptState.pools,
    calls,
    engines,
    plainBackends,
    attemptCount: () => attemptCount,
    setEngineFaults: (index, faults) =>
      postJson(`http://${engines[index]!.address}/faults`, faults),
    setPlainFaults: (index, faults) =>
      postJson(`http://${plainBackends[index]!.address}/faults`, faults),
    listRuns: () => listRuns(plainBackends),
    countRunningStreams: () => countRunningRequests(engines),
    setNotReadyReason: (reason) => notReadyReason = reason,
    close: async () => {
      await Effect.runPromise(Scope.close(scope, Exit.void));
      attemptState.pools.close();
      await Promise.all(
        [...engines, ...plainBackends].map((server) => server.close()),
      );
    },
  };
}

async function startServers(
  count: number,
  start: (index: number) => Promise<FakeServer>,
): Promise<FakeServer[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, (_, index) => start(index)),
  );
  return servers.map(({ address, close }) => ({
    address,
    close: async () => {
      closedAddresses.add(address);
      await close();
    },
  }));
}

function describeReplica({ address }: FakeServer, index: number): ReadyReplica {
  return {
    replicaId: `replica-${index}`,
    fencingNumber: 1,
    headAddress: address,
    availabilityZone: ZONE,
    reportedRequests: 0,
    sentSinceReport: 0,
  };
}

function describePlainInstance(
  { address }: FakeServer,
  index: number,
): PlainInstance {
  return {
    replicaId: `plain-${index}`,
    address,
    availabilityZone: ZONE,
    reportedRequests: 0,
    sentSinceReport: 0,
  };
}

function createConfig(options: LocalDataPlaneOptions): ConfigSet {
  return {
    availabilityZones: { [ZONE]: {} },
    deployments: {
      local: { displayName: "Local", weighting: "group-downtime" },
    },
    services: {
      drafter: {
        kind: "model",
        deployment: "local",
        replicaCount: 1,
        instancesPerReplica: 1,
        model: "test",
        idleTimeoutMs: options.idleTimeoutMs ?? 3_000,
        firstTokenDeadlineMs: options.firstTokenDeadlineMs ?? 30_000,
      },
      slotbook: {
        kind: "plain",
        deployment: "local",
        replicaCount: 1,
        timeoutMs: options.plainTimeoutMs ?? 5_000,
      },
    },
    organisations: {
      "patan-furniture": {
        apiKeySha256: [
          createHash("sha256").update(LOCAL_API_KEY).digest("hex"),
        ],
        services: ["drafter", "slotbook"],
      },
    },
  } as ConfigSet;
}

/** Creates claims that grant every key, for tests that do not cover claims. */
function createGrantingClaims(): ForwardingClaims {
  return {
    claim: () =>
      Effect.succeed({
        kind: "granted",
        claimRecordId: "claim",
        fencingNumber: 0,
        mayDispatch: () => true,
      }),
    recordOutcome: () => Effect.void,
  };
}

async function postJson(url: string, body: unknown): Promise<void> {
  const response = await fetch(url, {
    method: "POST",
    body: JSON.stringify(body),
  });
  await response.arrayBuffer();
}

async function listRuns(
  plainBackends: readonly FakeServer[],
): Promise<PlainRun[]> {
  const openBackends = plainBackends.filter(({ address }) =>
    !closedAddresses.has(address)
  );
  const lists = await Promise.all(openBackends.map(async ({ address }) => {
    const response = await fetch(`http://${address}/runs`);
    const { runs } = await response.json() as { readonly runs: PlainRun[] };
    return runs;
  }));
  return lists.flat();
}

async function countRunningRequests(
  engines: readonly FakeServer[],
): Promise<number> {
  const counts = await Promise.all(engines.map(async ({ address }) => {
    const response = await fetch(`http://${address}/status`);
    const status = await response.json() as {
      readonly runningRequests: number;
    };
    return status.runningRequests;
  }));
  return counts.reduce((sum, count) => sum + count, 0);
}
