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

/** Options of a data plane before stand-ins, all in this process. */
export interface LocalDataPlaneOptions {
  readonly engineCount?: number;
  readonly plainCount?: number;
  readonly tokenIntervalMs?: number;
  readonly idleTimeoutMs?: number;
  readonly firstTokenDeadlineMs?: number;
  readonly plainTimeoutMs?: number;
  readonly claims?: ForwardingClaims;
  /** Chooses among the back ends not yet tried. */
  readonly router?: Router;
  readonly maxBodyBytes?: number;
  /** Context of the requests, such as a test's clock. */
  readonly context?: Context.Context<never>;
  readonly onSilent?: () => void;
  readonly onStream?: (firstIndex: number) => void;
  readonly onToken?: () => void;
}

/** A data plane before stand-ins. */
export interface LocalDataPlane {
  readonly url: string;
  readonly server: Server;
  readonly pools: BackendPools;
  readonly calls: InFlightCalls;
  /** Back ends in the order of their numbers; a closed one refuses. */
  readonly engines: readonly FakeServer[];
  readonly plains: readonly FakeServer[];
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
  /** Runs counted by all plain stand-ins. */
  readonly listRuns: () => Promise<PlainRun[]>;
  readonly runningStreams: () => Promise<number>;
  readonly setNotReady: (reason: string | undefined) => void;
  readonly close: () => Promise<void>;
}

/** Takes back ends in the order of their numbers. */
export const IN_ORDER: Router = {
  choose: (candidates, { excludedIds }) =>
    candidates.find(({ replicaId }) => excludedIds?.has(replicaId) !== true),
};

/** Key that the callers of a local data plane send. */
export const LOCAL_KEY = "local-key";

const ANY_PORT = "127.0.0.1:0";
const DEFAULT_MAX_BODY_BYTES = 1024 * 1024;
const ZONE = "kth-a";
/** Addresses whose stand-ins were closed and can't be asked any more. */
const closedAddresses = new Set<string>();

/** Starts a data plane and its stand-ins. */
export async function startLocalDataPlane(
  options: LocalDataPlaneOptions = {},
): Promise<LocalDataPlane> {
  const engines = await startAll(options.engineCount ?? 0, async (index) => {
    const server = await serveFakeEngine({
      address: ANY_PORT,
      instanceId: `engine-${index}`,
      loadMs: 0,
      tokenIntervalMs: options.tokenIntervalMs ?? 0,
      ...(options.onSilent === undefined ? {} : { onSilent: options.onSilent }),
      ...(options.onStream === undefined ? {} : { onStream: options.onStream }),
      ...(options.onToken === undefined ? {} : { onToken: options.onToken }),
    });
    await post(`http://${server.address}/orders`, {
      kind: "load",
      replicaId: `replica-${index}`,
      fencingNumber: 1,
      rank: 0,
      model: "test",
    });
    return server;
  });
  const plains = await startAll(
    options.plainCount ?? 0,
    (index) =>
      serveFakePlainService({
        address: ANY_PORT,
        instanceId: `plain-${index}`,
      }),
  );
  let attemptCount = 0;
  let notReadyReason: string | undefined;
  const calls = new InFlightCalls();
  const config = createConfig(options);
  const scope = Scope.makeUnsafe();
  const attemptState = createAttemptState();
  for (const { address } of [...engines, ...plains]) {
    closedAddresses.delete(address);
  }
  const server = await Effect.runPromise(
    Scope.provide(
      listen({
        address: ANY_PORT,
        handlesContinue: true,
        handler: createCallerHandler({
          ...attemptState,
          availabilityZone: ZONE,
          maxBodyBytes: options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
          router: options.router ?? new PowerOfTwoRouter({ seed: 1 }),
          admission: { admit: () => Right(undefined) },
          slots: new CallSlots({ slotCountOf: () => undefined }),
          claims: options.claims ?? grantAll(),
          calls,
          config: () => config,
          notReadyReason: () => notReadyReason,
          listReadyReplicas: () => engines.map(describeReplica),
          listPlainInstances: () => plains.map(describePlain),
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
    plains,
    attemptCount: () => attemptCount,
    setEngineFaults: (index, faults) =>
      post(`http://${engines[index]!.address}/faults`, faults),
    setPlainFaults: (index, faults) =>
      post(`http://${plains[index]!.address}/faults`, faults),
    listRuns: () => listRuns(plains),
    runningStreams: () => countStreams(engines),
    setNotReady: (reason) => notReadyReason = reason,
    close: async () => {
      await Effect.runPromise(Scope.close(scope, Exit.void));
      attemptState.pools.close();
      await Promise.all([...engines, ...plains].map((each) => each.close()));
    },
  };
}

async function startAll(
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

function describePlain({ address }: FakeServer, index: number): PlainInstance {
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
        apiKeySha256: [createHash("sha256").update(LOCAL_KEY).digest("hex")],
        services: ["drafter", "slotbook"],
      },
    },
  } as ConfigSet;
}

/** Claims that grant every key; for calls that no proof of claims needs. */
function grantAll(): ForwardingClaims {
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

async function post(url: string, body: unknown): Promise<void> {
  const response = await fetch(url, {
    method: "POST",
    body: JSON.stringify(body),
  });
  await response.arrayBuffer();
}

async function listRuns(plains: readonly FakeServer[]): Promise<PlainRun[]> {
  const open = plains.filter(({ address }) => !closedAddresses.has(address));
  const lists = await Promise.all(open.map(async ({ address }) => {
    const response = await fetch(`http://${address}/runs`);
    const { runs } = await response.json() as { readonly runs: PlainRun[] };
    return runs;
  }));
  return lists.flat();
}

async function countStreams(engines: readonly FakeServer[]): Promise<number> {
  const counts = await Promise.all(engines.map(async ({ address }) => {
    const response = await fetch(`http://${address}/status`);
    const status = await response.json() as {
      readonly runningRequests: number;
    };
    return status.runningRequests;
  }));
  return counts.reduce((sum, count) => sum + count, 0);
}
