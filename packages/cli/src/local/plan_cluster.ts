import type { Instance } from "@celerytray/schema";
import { findFreeAddresses } from "./free_addresses.ts";

/** Sizes of a local cluster. */
export interface LocalClusterOptions {
  /** Zones; one entry instance in each. */
  readonly availabilityZones?: readonly string[];
  readonly fabricDomainCount?: number;
  readonly enginesPerDomain?: number;
  /** Plain service and its instances. */
  readonly plainService?: string;
  readonly plainInstanceCount?: number;
  /** Engines that ignore fencing numbers. */
  readonly ignoresFencing?: boolean;
  readonly tokenIntervalMs?: number;
  /** Further flags of each entry instance. */
  readonly entryFlags?: readonly string[];
  /** Further environment variables of each entry instance. */
  readonly entryEnvironment?: Readonly<Record<string, string>>;
}

const DEFAULT_ZONES = ["kth-a", "kth-b", "kth-c"];

/** Where the processes of a cluster listen, and what the list says of them. */
export interface ClusterPlan {
  readonly logAddress: string;
  readonly listAddress: string;
  readonly entries: readonly (Instance & { readonly adminAddress: string })[];
  readonly engines: readonly Instance[];
  readonly plains: readonly Instance[];
}

/** Gives the processes of a cluster their names, zones and free addresses. */
export async function planCluster(
  options: LocalClusterOptions,
): Promise<ClusterPlan> {
  const zones = options.availabilityZones ?? DEFAULT_ZONES;
  const domainCount = options.fabricDomainCount ?? 2;
  const perDomain = options.enginesPerDomain ?? 4;
  const plainCount = options.plainInstanceCount ?? 2;
  const engineCount = domainCount * perDomain;
  const addresses = await findFreeAddresses(
    2 + 2 * zones.length + engineCount + plainCount,
  );
  const take = () => addresses.shift()!;
  const zoneOf = (index: number) => zones[index % zones.length]!;
  return {
    logAddress: take(),
    listAddress: take(),
    entries: zones.map((zone) => ({
      instanceId: `entry-${zone}`,
      role: "entry" as const,
      address: take(),
      adminAddress: take(),
      availabilityZone: zone,
      state: "live" as const,
    })),
    engines: Array.from({ length: engineCount }, (_, index) => {
      const domain = Math.floor(index / perDomain);
      return {
        instanceId: `engine-${domain}-${index % perDomain}`,
        role: "engine" as const,
        address: take(),
        availabilityZone: zoneOf(domain),
        fabricDomain: `fabric-${domain}`,
        acceleratorCount: 1,
        state: "live" as const,
      };
    }),
    plains: Array.from({ length: plainCount }, (_, index) => ({
      instanceId: `plain-${index}`,
      role: "plain" as const,
      address: take(),
      availabilityZone: zoneOf(index),
      service: options.plainService ?? "slotbook",
      state: "live" as const,
    })),
  };
}
