import type { ConfigSet, Instance, Weighting } from "@celerytray/schema";

/** A deployment at its full size, with its configuration and instances. */
export interface BenchDeployment {
  readonly name: string;
  readonly config: ConfigSet;
  readonly instances: readonly Instance[];
}

const FABRIC_DOMAINS = 9;
const INSTANCES_PER_DOMAIN = 32;

/** The deployments of both users: 65 replicas of one service and 3 of another. */
export const benchDeployments: readonly BenchDeployment[] = [
  createDeployment("tillicum", {
    weighting: "group-downtime",
    zones: ["cascadia-a", "cascadia-b", "cascadia-c"],
    services: ["draftwriter", "lotdesk"],
  }),
  createDeployment("bagmati", {
    weighting: "stranded-accelerators",
    zones: ["kth-a", "kth-b", "kth-c"],
    services: ["drafter", "slotbook"],
  }),
];

interface DeploymentShape {
  readonly weighting: Weighting;
  readonly zones: readonly string[];
  readonly services: readonly [string, string];
}

function createDeployment(
  name: string,
  { weighting, zones, services }: DeploymentShape,
): BenchDeployment {
  const [largeService, smallService] = services;
  const config: ConfigSet = {
    availabilityZones: Object.fromEntries(zones.map((zone) => [zone, {}])),
    organisations: {},
    deployments: { [name]: { weighting } },
    services: {
      [largeService]: {
        kind: "model",
        deployment: name,
        replicaCount: 65,
        instancesPerReplica: 4,
        model: `${largeService}-70b`,
      },
      [smallService]: {
        kind: "model",
        deployment: name,
        replicaCount: 3,
        instancesPerReplica: 2,
        model: `${smallService}-8b`,
      },
    },
  };
  return {
    name,
    config,
    instances: createEngines({
      domainCount: FABRIC_DOMAINS,
      instancesPerDomain: INSTANCES_PER_DOMAIN,
      zones,
    }),
  };
}

/** Sizes of a fleet of engines. */
export interface EngineCounts {
  readonly domainCount: number;
  readonly instancesPerDomain: number;
  readonly zones: readonly string[];
}

/** Creates engines by fabric domain; domains are assigned to zones round-robin. */
export function createEngines(options: EngineCounts): Instance[] {
  const { domainCount, instancesPerDomain, zones } = options;
  return Array.from(
    { length: domainCount * instancesPerDomain },
    (_, index) => {
      const domainIndex = Math.floor(index / instancesPerDomain);
      return {
        instanceId: `engine-${domainIndex}-${index % instancesPerDomain}`,
        role: "engine" as const,
        address: "127.0.0.1:1",
        availabilityZone: zones[domainIndex % zones.length]!,
        fabricDomain: `fabric-${domainIndex}`,
        acceleratorCount: 8,
        state: "live" as const,
      };
    },
  );
}
