import type { ConfigSet } from "@celerytray/schema";
import {
  CallSlots,
  createAttemptState,
  createCallerHandler,
  InFlightCalls,
  PowerOfTwoRouter,
  RateAdmission,
  type ReadyReplica,
  Timeline,
} from "celerytray";
import { Context, Effect } from "effect";
import { createHash } from "node:crypto";
import { createServer } from "node:http";
import { RELAY_API_KEY } from "./relay_messages.ts";

const ZONE = "kth-a";

/** Serves callers with the data plane and the timeline of an entry instance. */
export function serveEntry(
  sources: readonly string[],
  onListening: (port: number) => void,
): void {
  const replicas = sources.map(describeReplica);
  const config = createConfig();
  const timeline = new Timeline({ process: "entry" });
  const handler = createCallerHandler({
    ...createAttemptState(),
    availabilityZone: ZONE,
    maxBodyBytes: 1024 * 1024,
    router: new PowerOfTwoRouter({ seed: 1 }),
    admission: new RateAdmission({ shareOf: () => 1 }),
    slots: new CallSlots({ slotCountOf: () => undefined }),
    claims: { claim: () => Effect.never, recordOutcome: () => Effect.void },
    calls: new InFlightCalls(),
    config: () => config,
    notReadyReason: () => undefined,
    listReadyReplicas: () => replicas,
    listPlainInstances: () => [],
    noteSent: () => {},
    noteOutcome: () => {},
    recordEvent: (kind, fields) =>
      Effect.sync(() =>
        timeline.record(kind, { ...fields, nowMs: Date.now() })
      ),
  }, Context.empty());
  const server = createServer(handler);
  server.listen(0, "127.0.0.1", () => {
    const address = server.address();
    onListening(typeof address === "object" ? address?.port ?? 0 : 0);
  });
}

function describeReplica(address: string, index: number): ReadyReplica {
  return {
    replicaId: `replica-${index}`,
    fencingNumber: 1,
    headAddress: address,
    availabilityZone: ZONE,
    reportedRequests: 0,
    sentSinceReport: 0,
  };
}

function createConfig(): ConfigSet {
  return {
    availabilityZones: { [ZONE]: {} },
    deployments: {},
    services: {
      drafter: {
        kind: "model",
        deployment: "relay",
        replicaCount: 2,
        instancesPerReplica: 1,
        model: "slot-drafter-70b",
      },
    },
    organisations: {
      "patan-furniture": {
        apiKeySha256: [
          createHash("sha256").update(RELAY_API_KEY).digest("hex"),
        ],
        services: ["drafter"],
        requestsPerSecond: 1_000_000,
      },
    },
  } as ConfigSet;
}
