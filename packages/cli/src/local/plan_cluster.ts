import type { Instance } from "@celerytray/schema";
import { findFreeAddresses } from "./free_addresses.ts";

/** Size and settings of a local cluster. */
export interface LocalClusterOptions {
  /** Availability zones, each with one entry instance. */
  readonly availabilityZones?: readonly string[];
  readonly fabricDomainCount?: number;
  readonly enginesPerDomain?: number;
  /** Name of the plain service that the plain instances serve. */
  readonly plainService?: string;
  readonly plainInstanceCount?: number;
  /** Whether engines ignore fencing numbers. */
  readonly ignoresFencing?: boolean;
  readonly tokenIntervalMs?: number;
  /** Additional flags of each entry instance. */
  readonly entryFlags?: readonly string[];
  /** Additional environment variables of each entry instance. */
  readonly entryEnvironment?: Readonly<Record<string, string>>;
}

const DEFAULT_ZONES = ["kth-a", "kth-b", "kth-c"];

/** Addresses of a cluster's processes and their instance list entries. */
export interface ClusterPlan {
  readonly logAddress: string;
  readonly instanceListAddress: string;
  readonly entries: readonly (Instance & { readonly adminAddress: string })[];
  readonly engines: readonly Instance[];
  readonly plainBackends: readonly Instance[];
}

/** Assigns names, zones and free addresses to the processes of a cluster. */
export async function planCluster(
  options: LocalClusterOptions,
): Promise<ClusterPlan> {
  const zones = options.availabilityZones ?? DEFAULT_ZONES;
  const domainCount = options.fabricDomainCount ?? 2;
  const enginesPerDomain = options.enginesPerDomain ?? 4;
  const plainCount = options.plainInstanceCount ?? 2;
  const engineCount = domainCount * enginesPerDomain;
  const addresses = await findFreeAddresses(
    2 + 2 * zones.length + engineCount + plainCount,
  );
  const takeAddress = () => addresses.shift()!;
  const zoneOf = (index: number) => zones[index % zones.length]!;
  return {
    logAddress: takeAddress(),
    instanceListAddress: takeAddress(),
    entries: zones.map((zone) => ({
      instanceId: `entry-${zone}`,
      role: "entry" as const,
      address: takeAddress(),
      adminAddress: takeAddress(),
      availabilityZone: zone,
      state: "live" as const,
    })),
    engines: Array.from({ length: engineCount }, (_, index) => {
      const domain = Math.floor(index / enginesPerDomain);
      return {
        instanceId: `engine-${domain}-${index % enginesPerDomain}`,
        role: "engine" as const,
        address: takeAddress(),
        availabilityZone: zoneOf(domain),
        fabricDomain: `fabric-${domain}`,
        acceleratorCount: 1,
        state: "live" as const,
      };
    }),
    plainBackends: Array.from({ length: plainCount }, (_, index) => ({
      instanceId: `plain-${index}`,
      role: "plain" as const,
      address: takeAddress(),
      availabilityZone: zoneOf(index),
      service: options.plainService ?? "slotbook",
      state: "live" as const,
    })),
  };
}
