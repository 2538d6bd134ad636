import type { Instance, ModelService } from "@celerytray/schema";
import { HashMap } from "effect";
import type { AddressedOrder, OrderInput } from "./create_orders.ts";
import { groupBy } from "../collections/index.ts";
import { hasWeights, type MemberObservation } from "./replica_health.ts";

/** Input from which preload orders are created. */
export interface PreloadInput extends OrderInput {
  /** Names of the model services. */
  readonly serviceNames: readonly string[];
  readonly nowMs: number;
}

/** Age of the last observation above which an instance gets no preload. */
const MAX_AGE_MS = 5_000;

/**
 * Orders that load the ranks of a fabric domain's main service into its free
 * instances, in equal numbers per rank, so that a repair needs no load.
 */
export function createPreloads(input: PreloadInput): AddressedOrder[] {
  const engines = [...input.instances.values()].filter(({ role, state }) =>
    role === "engine" && state === "live"
  );
  const byDomain = groupBy(engines, ({ fabricDomain }) => fabricDomain ?? "");
  return [...byDomain.values()].flatMap((instances) => {
    const free = instances.filter((instance) => isFree(instance, input));
    if (free.length === 0) return [];
    const service = findMainService(instances, input);
    return service === undefined ? [] : preloadDomain(free, { service, input });
  });
}

function isFree(
  { instanceId }: Instance,
  { fleet, observations, nowMs }: PreloadInput,
): boolean {
  if (HashMap.has(fleet.replicaIdByMember, instanceId)) return false;
  const seen = observations.get(instanceId);
  return seen !== undefined && nowMs - seen.observedAtMs <= MAX_AGE_MS &&
    seen.status.assignment === undefined && seen.status.leaving !== true;
}

/** The service with the most members in a domain, or else the largest one. */
function findMainService(
  instances: readonly Instance[],
  { fleet, findService, serviceNames }: PreloadInput,
): ModelService | undefined {
  const counts = new Map<string, number>();
  for (const { instanceId } of instances) {
    const replicaId = HashMap.get(fleet.replicaIdByMember, instanceId);
    if (replicaId._tag === "None") continue;
    const name = replicaId.value.slice(0, replicaId.value.lastIndexOf("/"));
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  const [main] = [...counts].toSorted(([, a], [, b]) => b - a);
  if (main !== undefined) return findService(main[0]);
  const services = serviceNames.flatMap((name) => findService(name) ?? []);
  return services.toSorted((a, b) => countMembers(b) - countMembers(a))[0];
}

function countMembers(service: ModelService): number {
  return service.replicaCount * service.instancesPerReplica;
}

interface DomainPreload {
  readonly service: ModelService;
  readonly input: PreloadInput;
}

function preloadDomain(
  free: readonly Instance[],
  { service, input }: DomainPreload,
): AddressedOrder[] {
  const holders = countByRank(free, { service, input });
  const orders: AddressedOrder[] = [];
  for (const { instanceId, address } of free) {
    const seen = input.observations.get(instanceId)!;
    const held = findRank(seen, service);
    const rank = findRarestRank(holders);
    if (held !== undefined) {
      if (holders[held]! <= holders[rank]! + 1) continue;
      holders[held]! -= 1;
    }
    holders[rank]! += 1;
    orders.push({
      instanceId,
      address,
      order: {
        kind: "preload",
        fencingNumber: Math.max(0, input.fleet.offset),
        rank,
        model: service.model,
        ...(service.modelVersion === undefined
          ? {}
          : { modelVersion: service.modelVersion }),
      },
    });
  }
  return orders;
}

function countByRank(
  free: readonly Instance[],
  { service, input }: DomainPreload,
): number[] {
  const holders = Array.from({ length: service.instancesPerReplica }, () => 0);
  for (const { instanceId } of free) {
    const rank = findRank(input.observations.get(instanceId)!, service);
    if (rank !== undefined) holders[rank]! += 1;
  }
  return holders;
}

function findRank(
  { status }: MemberObservation,
  { model, modelVersion, instancesPerReplica }: ModelService,
): number | undefined {
  const rank = status.loadedRank;
  if (rank === undefined || rank >= instancesPerReplica) return undefined;
  const version = modelVersion === undefined ? {} : { modelVersion };
  return hasWeights(status, { model, rank, ...version }) ? rank : undefined;
}

function findRarestRank(holders: readonly number[]): number {
  return holders.indexOf(Math.min(...holders));
}
