import type { ConfigSet, Instance, Weighting } from "@celerytray/schema";

/** A deployment at its full size. */
export interface BenchDeployment {
  readonly name: string;
  readonly config: ConfigSet;
  readonly instances: readonly Instance[];
}

const FABRIC_DOMAINS = 9;
const INSTANCES_PER_DOMAIN = 32;

/** Both users' deployments: 65 replicas of one service and 3 of another. */
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
  const [large, small] = services;
  const config: ConfigSet = {
    availabilityZones: Object.fromEntries(zones.map((zone) => [zone, {}])),
    organisations: {},
    deployments: { [name]: { weighting } },
    services: {
      [large]: {
        kind: "model",
        deployment: name,
        replicaCount: 65,
        instancesPerReplica: 4,
        model: `${large}-70b`,
      },
      [small]: {
        kind: "model",
        deployment: name,
        replicaCount: 3,
        instancesPerReplica: 2,
        model: `${small}-8b`,
      },
    },
  };
  return {
    name,
    config,
    instances: createEngines({
      domainCount: FABRIC_DOMAINS,
      perDomain: INSTANCES_PER_DOMAIN,
      zones,
    }),
  };
}

/** Sizes of a fleet of engines. */
export interface EngineCounts {
  readonly domainCount: number;
  readonly perDomain: number;
  readonly zones: readonly string[];
}

/** Engines by fabric domain; the domains take turns over the zones. */
export function createEngines(counts: EngineCounts): Instance[] {
  const { domainCount, perDomain, zones } = counts;
  return Array.from({ length: domainCount * perDomain }, (_, index) => {
    const domain = Math.floor(index / perDomain);
    return {
      instanceId: `engine-${domain}-${index % perDomain}`,
      role: "engine" as const,
      address: "127.0.0.1:1",
      availabilityZone: zones[domain % zones.length]!,
      fabricDomain: `fabric-${domain}`,
      acceleratorCount: 8,
      state: "live" as const,
    };
  });
}
