import { type ConfigSet } from "@celerytray/schema";
import { Context, Effect } from "effect";
import { createHash } from "node:crypto";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Right } from "purify-ts";
import { after } from "node:test";
import { CallSlots } from "../admission/index.ts";
import { createAttemptState } from "../entry/entry_attempts.ts";
import { createCallerHandler } from "./caller_handler.ts";
import { InFlightCalls } from "./in_flight_calls.ts";

/** Key of the organisation that may call the model. */
export const KEY = "key-1";
const servers: Server[] = [];

after(() => {
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
});

/** Starts an entry server before replicas with an engine at one address. */
export async function startCallerEntry(
  { engineAddress, replicaIds, onAttemptEvent = () => {} }: {
    readonly engineAddress: string;
    readonly replicaIds: readonly string[];
    readonly onAttemptEvent?: (kind: string) => void;
  },
) {
  const calls = new InFlightCalls();
  const handler = createCallerHandler({
    ...createAttemptState(),
    availabilityZone: ZONE,
    maxBodyBytes: 65_536,
    router: {
      choose: (replicas, { excludedIds }) =>
        replicas.find(({ replicaId }) => excludedIds?.has(replicaId) !== true),
    },
    admission: { admit: () => Right(undefined) },
    slots: new CallSlots({ slotCountOf: () => undefined }),
    claims: {
      claim: () => Effect.never,
      recordOutcome: () => Effect.void,
    },
    calls,
    config: () => CONFIG,
    notReadyReason: () => undefined,
    listReadyReplicas: () =>
      replicaIds.map((replicaId) => ({
        replicaId,
        fencingNumber: 1,
        headAddress: engineAddress,
        availabilityZone: ZONE,
        reportedRequests: 0,
        sentSinceReport: 0,
      })),
    listPlainInstances: () => [],
    noteSent: () => {},
    noteOutcome: () => {},
    recordEvent: (kind) =>
      Effect.sync(() => {
        if (kind.startsWith("attempt.")) onAttemptEvent(kind);
      }),
  }, Context.empty());
  const server = createServer(handler);
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return { port, calls };
}

const ZONE = "z";
const CONFIG = {
  availabilityZones: { [ZONE]: {} },
  deployments: { local: { displayName: "Local", weighting: "group-downtime" } },
  services: {
    drafter: {
      kind: "model",
      deployment: "local",
      replicaCount: 2,
      instancesPerReplica: 1,
      model: "test",
    },
  },
  organisations: {
    owner: {
      apiKeySha256: [createHash("sha256").update(KEY).digest("hex")],
      services: ["drafter"],
    },
  },
} as ConfigSet;
