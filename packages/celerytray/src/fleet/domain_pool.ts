import type { ModelService } from "@celerytray/schema";
import { HashMap } from "effect";
import { type FleetObservation, isUsable } from "./planner_types.ts";

/** A fabric domain and its free instances, which belong to no replica. */
export interface DomainPool {
  readonly fabricDomain: string;
  readonly availabilityZone: string;
  /** Identifiers of the free instances. */
  readonly free: Set<string>;
}

/** Options of `createDomainPools`. */
export interface DomainPoolOptions {
  /** Whether an instance may not be used; by default none is excluded. */
  readonly isExcluded?: (instanceId: string) => boolean;
}

/** Pools of free instances by fabric domain. */
export function createDomainPools(
  observation: FleetObservation,
  options: DomainPoolOptions = {},
): Map<string, DomainPool> {
  const pools = new Map<string, DomainPool>();
  for (const instance of observation.instances) {
    const { fabricDomain, instanceId, availabilityZone } = instance;
    if (instance.role !== "engine" || fabricDomain === undefined) continue;
    let pool = pools.get(fabricDomain);
    if (pool === undefined) {
      pool = { fabricDomain, availabilityZone, free: new Set() };
      pools.set(fabricDomain, pool);
    }
    if (instance.state === "leaving") continue;
    if (HashMap.has(observation.fleet.replicaIdByMember, instanceId)) continue;
    if (!isUsable(instanceId, observation)) continue;
    if (options.isExcluded?.(instanceId) === true) continue;
    pool.free.add(instanceId);
  }
  return pools;
}

/** Selection of instances from a pool. */
export interface TakeOptions {
  readonly service: ModelService;
  readonly observation: FleetObservation;
  /** Ranks for which instances are needed. */
  readonly ranks: readonly number[];
}

/**
 * Takes one instance per rank from a pool, preferably one that holds the rank's
 * weights. Returns them by rank; undefined if there are too few.
 */
export function takeForRanks(
  pool: DomainPool,
  options: TakeOptions,
): Map<number, string> | undefined {
  const { ranks, service, observation } = options;
  if (pool.free.size < ranks.length) return undefined;
  const taken = new Map<number, string>();
  for (const instanceId of pool.free) {
    const rank = findHeldRank(instanceId, { service, observation });
    if (rank === undefined || taken.has(rank)) continue;
    if (ranks.includes(rank)) taken.set(rank, instanceId);
  }
  const chosen = new Set(taken.values());
  const others = [...pool.free].filter((name) => !chosen.has(name));
  for (const rank of ranks) {
    if (!taken.has(rank)) taken.set(rank, others.shift()!);
  }
  for (const instanceId of taken.values()) pool.free.delete(instanceId);
  return taken;
}

/** Rank whose weights of a service's model an instance holds, if any. */
export function findHeldRank(
  instanceId: string,
  { service, observation }: Omit<TakeOptions, "ranks">,
): number | undefined {
  const status = observation.observations.get(instanceId)?.status;
  if (status?.model !== service.model) return undefined;
  if (status.modelVersion !== service.modelVersion) return undefined;
  return status.loadedFraction === 1 ? status.loadedRank : undefined;
}

/** Whether free instances of a domain hold the weights of all ranks. */
export function holdsRanks(pool: DomainPool, options: TakeOptions): boolean {
  if (pool.free.size < options.ranks.length) return false;
  const held = new Set<number>();
  for (const instanceId of pool.free) {
    const rank = findHeldRank(instanceId, options);
    if (rank !== undefined) held.add(rank);
  }
  return options.ranks.every((rank) => held.has(rank));
}

/** All ranks of a service's replica. */
export function listRanks({ instancesPerReplica }: ModelService): number[] {
  return Array.from({ length: instancesPerReplica }, (_, rank) => rank);
}
