import type { ModelService } from "@celerytray/schema";
import { HashMap } from "effect";
import {
  type DomainPool,
  holdsRanks,
  listRanks,
  takeForRanks,
} from "./domain_pool.ts";
import { createReplicaId, type Replica } from "./fold_fleet_record.ts";
import type { FleetObservation, FleetProposal } from "./planner_types.ts";
import { SpreadQueue } from "./spread_queue.ts";

/** Input of `placeReplicas`. */
export interface PlacementInput {
  readonly observation: FleetObservation;
  readonly pools: ReadonlyMap<string, DomainPool>;
  /**
   * Identifiers of the replicas that this round dissolves. Their slots stay
   * occupied until the dissolutions are applied.
   */
  readonly dissolved: ReadonlySet<string>;
  /** Whether ranks go to instances that hold their weights, where possible. */
  readonly matchesLoadedRanks: boolean;
  /** Whether spare instances may form replicas beyond a service's target. */
  readonly mayExceedTarget?: (service: ModelService) => boolean;
}

interface ServicePlacement {
  readonly name: string;
  readonly service: ModelService;
  readonly queue: SpreadQueue;
  /** Domains whose free instances hold the weights of all ranks. */
  readonly loadedQueue: SpreadQueue;
  replicaCount: number;
  nextSlot: number;
}

/**
 * Forms the wanted replicas, starting with the service that has the smallest
 * share of its replicas. Once no service lacks replicas, it forms extra ones
 * from spare instances where that is allowed.
 */
export function placeReplicas(input: PlacementInput): FleetProposal[] {
  const services = createPlacements(input);
  const wanted = placeWhile(services, {
    input,
    wantsMore: ({ replicaCount, service }) =>
      replicaCount < service.replicaCount,
  });
  const lacksReplicas = services.some(({ replicaCount, service }) =>
    replicaCount < service.replicaCount
  );
  if (lacksReplicas || input.mayExceedTarget === undefined) return wanted;
  const extra = placeWhile(services, {
    input,
    needsLoadedWeights: true,
    wantsMore: ({ service }) =>
      service.replicaCount > 0 && input.mayExceedTarget!(service),
  });
  return [...wanted, ...extra];
}

interface PlacementRound {
  readonly input: PlacementInput;
  /** Whether only replicas that need no load are formed; false by default. */
  readonly needsLoadedWeights?: boolean;
  readonly wantsMore: (placement: ServicePlacement) => boolean;
}

function placeWhile(
  services: readonly ServicePlacement[],
  round: PlacementRound,
): FleetProposal[] {
  const proposals: FleetProposal[] = [];
  const exhausted = new Set<string>();
  while (true) {
    const open = services.filter((placement) =>
      !exhausted.has(placement.name) && round.wantsMore(placement)
    );
    const next = findWorstServed(open);
    if (next === undefined) return proposals;
    const proposal = placeOne(next, round);
    if (proposal === undefined) exhausted.add(next.name);
    else proposals.push(proposal);
  }
}

function findWorstServed(
  placements: readonly ServicePlacement[],
): ServicePlacement | undefined {
  let worst: ServicePlacement | undefined;
  for (const placement of placements) {
    if (worst === undefined || servedShare(placement) < servedShare(worst)) {
      worst = placement;
    }
  }
  return worst;
}

function servedShare({ replicaCount, service }: ServicePlacement): number {
  return replicaCount / service.replicaCount;
}

function placeOne(
  placement: ServicePlacement,
  { input, needsLoadedWeights }: PlacementRound,
): FleetProposal | undefined {
  const { service, name } = placement;
  const { observation } = input;
  const ranks = listRanks(service);
  const loaded = placement.loadedQueue.take((pool) =>
    holdsRanks(pool, { service, observation, ranks })
  );
  const pool = loaded ??
    (needsLoadedWeights === true
      ? undefined
      : placement.queue.take(({ free }) => free.size >= ranks.length));
  if (pool === undefined) return undefined;
  const members = takeMembers(pool, { service, input });
  const slot = findFreeSlot(placement, input);
  placement.nextSlot = slot + 1;
  placement.replicaCount += 1;
  return { kind: "form", service: name, slot, members };
}

function takeMembers(
  pool: DomainPool,
  { service, input }: {
    readonly service: ModelService;
    readonly input: PlacementInput;
  },
): string[] {
  const ranks = listRanks(service);
  if (!input.matchesLoadedRanks) {
    const members = [...pool.free].slice(0, ranks.length);
    for (const member of members) pool.free.delete(member);
    return members;
  }
  const { observation } = input;
  const taken = takeForRanks(pool, { service, observation, ranks })!;
  return ranks.map((rank) => taken.get(rank)!);
}

function findFreeSlot(
  { name, nextSlot }: ServicePlacement,
  { observation }: PlacementInput,
): number {
  const { replicas } = observation.fleet;
  let slot = nextSlot;
  while (HashMap.has(replicas, createReplicaId(name, slot))) slot += 1;
  return slot;
}

function createPlacements(input: PlacementInput): ServicePlacement[] {
  const { config } = input.observation;
  const countsByService = countReplicas(input);
  return Object.entries(config.services).flatMap(([name, service]) => {
    if (service.kind !== "model") return [];
    const replicaCounts = countsByService.get(name) ?? new Map();
    let replicaCount = 0;
    for (const count of replicaCounts.values()) replicaCount += count;
    const pools = [...input.pools.values()];
    const ranks = listRanks(service);
    const { observation } = input;
    const loaded = pools.filter((pool) =>
      input.matchesLoadedRanks &&
      holdsRanks(pool, { service, observation, ranks })
    );
    return [{
      name,
      service,
      queue: new SpreadQueue({ pools, replicaCounts }),
      loadedQueue: new SpreadQueue({ pools: loaded, replicaCounts }),
      replicaCount,
      nextSlot: 0,
    }];
  });
}

/** Counts replicas by service and fabric domain. */
function countReplicas(
  input: PlacementInput,
): Map<string, Map<string, number>> {
  const { fleet, instances } = input.observation;
  const domainOf = new Map(instances.map((instance) => [
    instance.instanceId,
    instance.fabricDomain ?? "",
  ]));
  const counts = new Map<string, Map<string, number>>();
  for (const replica of HashMap.values(fleet.replicas)) {
    if (input.dissolved.has(replica.replicaId)) continue;
    const domain = findDomain(replica, domainOf);
    const byDomain = counts.get(replica.service) ?? new Map();
    byDomain.set(domain, (byDomain.get(domain) ?? 0) + 1);
    counts.set(replica.service, byDomain);
  }
  return counts;
}

function findDomain(
  replica: Replica,
  domainOf: ReadonlyMap<string, string>,
): string {
  const known = replica.members.find((member) => domainOf.has(member));
  return known === undefined ? "" : domainOf.get(known)!;
}
