import type { ConfigSet, ModelService } from "@celerytray/schema";
import { HashMap } from "effect";
import { findReplicaFault, type ReplicaFault } from "./assess_replica.ts";
import {
  createDomainPools,
  type DomainPool,
  holdsRanks,
  listRanks,
} from "./domain_pool.ts";
import { findSurplus } from "./find_surplus.ts";
import {
  emptyEstimates,
  type FleetEstimates,
  isQuarantined,
  updateEstimates,
} from "./fleet_estimates.ts";
import { placeReplicas } from "./place_replicas.ts";
import {
  ABSENT_AFTER_MS,
  type FleetObservation,
  type FleetProposal,
  isPresent,
  type ReplicaPlanner,
} from "./planner_types.ts";
import {
  type DomainCount,
  repairReplicas,
  type Repairs,
} from "./repair_replicas.ts";

/** Repairs replicas where that is expected to cost less than waiting. */
export class RepairPlanner implements ReplicaPlanner {
  #estimates = emptyEstimates();

  get estimates(): FleetEstimates {
    return this.#estimates;
  }

  observe(observation: FleetObservation): void {
    this.#estimates = updateEstimates(this.#estimates, observation);
  }

  plan(observation: FleetObservation): readonly FleetProposal[] {
    return planReplicas(observation, this.#estimates);
  }
}

/** Share of the engines that a process must see to plan changes. */
const MIN_SEEN_SHARE = 0.5;

/** Changes of one round; none while this process sees too few engines. */
export function planReplicas(
  observation: FleetObservation,
  estimates: FleetEstimates,
): FleetProposal[] {
  if (isIsolated(observation)) return [];
  const { nowMs } = observation;
  const pools = createDomainPools(observation, {
    isExcluded: (member) => isQuarantined(estimates, { member, nowMs }),
  });
  const surplus = findSurplus(observation, mayExceedTarget(observation.config));
  const repairs = chooseRepairs(observation, { estimates, pools, surplus });
  const dissolved = new Set([...surplus.keys(), ...repairs.dissolved]);
  const formations = placeReplicas({
    observation,
    pools,
    dissolved,
    matchesLoadedRanks: true,
    mayExceedTarget: mayExceedTarget(observation.config),
  });
  return [
    ...surplus.values(),
    ...repairs.dissolutions,
    ...repairs.replacements,
    ...formations,
  ];
}

/**
 * Whether spares may form replicas beyond a service's target. They may if the
 * deployment's weighting puts stranded accelerators first. If it puts group
 * downtime first, spares stay free for repairs.
 */
function mayExceedTarget(
  config: ConfigSet,
): (service: ModelService) => boolean {
  return ({ deployment }) =>
    config.deployments[deployment]?.weighting === "stranded-accelerators";
}

function isIsolated(observation: FleetObservation): boolean {
  let engineCount = 0;
  let seenCount = 0;
  for (const { role, instanceId } of observation.instances) {
    if (role !== "engine") continue;
    engineCount += 1;
    if (isPresent(instanceId, observation)) seenCount += 1;
  }
  return seenCount < engineCount * MIN_SEEN_SHARE;
}

const NO_REPAIRS: Repairs = {
  dissolutions: [],
  replacements: [],
  dissolved: new Set(),
};

interface RepairContext {
  readonly estimates: FleetEstimates;
  readonly pools: ReadonlyMap<string, DomainPool>;
  readonly surplus: ReadonlyMap<string, FleetProposal>;
}

function chooseRepairs(
  observation: FleetObservation,
  { estimates, pools, surplus }: RepairContext,
): Repairs {
  const startedAtMs = estimates.startedAtMs ?? observation.nowMs;
  const isStarting = observation.nowMs - startedAtMs <= ABSENT_AFTER_MS;
  const faults: ReplicaFault[] = [];
  for (const replica of HashMap.values(observation.fleet.replicas)) {
    if (isStarting || surplus.has(replica.replicaId)) continue;
    const fault = findReplicaFault(replica, { observation, estimates });
    if (fault !== undefined) faults.push(fault);
  }
  if (faults.length === 0) return NO_REPAIRS;
  const domainOf = new Map(observation.instances.map((instance) => [
    instance.instanceId,
    instance.fabricDomain ?? "",
  ]));
  const domainCounter = new DomainCounter(observation, pools);
  const surplusCounts = countSurplus(observation, surplus);
  return repairReplicas(faults, {
    observation,
    estimates,
    pools,
    findDomain: ({ replica }) => {
      const known = replica.members.find((member) => domainOf.has(member));
      return known === undefined ? "" : domainOf.get(known)!;
    },
    findService: ({ replica }) =>
      observation.config.services[replica.service] as ModelService,
    surplusCounts,
    countDomains: (service, domain) => domainCounter.count(service, domain),
  });
}

/** Counts by service the replicas beyond the wanted number that are kept. */
function countSurplus(
  { config, fleet }: FleetObservation,
  dissolved: ReadonlyMap<string, FleetProposal>,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { replicaId, service } of HashMap.values(fleet.replicas)) {
    if (dissolved.has(replicaId)) continue;
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  for (const [name, count] of counts) {
    const service = config.services[name] as ModelService;
    counts.set(name, count - service.replicaCount);
  }
  return counts;
}

/** Counts the domains that can take a replica; caches them by service. */
class DomainCounter {
  readonly #observation: FleetObservation;
  readonly #pools: ReadonlyMap<string, DomainPool>;
  readonly #domains = new Map<ModelService, CandidateDomains>();

  constructor(
    observation: FleetObservation,
    pools: ReadonlyMap<string, DomainPool>,
  ) {
    this.#observation = observation;
    this.#pools = pools;
  }

  count(service: ModelService, exceptDomain: string): DomainCount {
    let found = this.#domains.get(service);
    if (found === undefined) {
      found = this.#find(service);
      this.#domains.set(service, found);
    }
    const { all, loaded } = found;
    return {
      all: all.size - (all.has(exceptDomain) ? 1 : 0),
      loaded: loaded.size - (loaded.has(exceptDomain) ? 1 : 0),
    };
  }

  #find(service: ModelService): CandidateDomains {
    const observation = this.#observation;
    const ranks = listRanks(service);
    const all = new Set<string>();
    const loaded = new Set<string>();
    for (const [domain, pool] of this.#pools) {
      if (pool.free.size < ranks.length) continue;
      all.add(domain);
      if (holdsRanks(pool, { service, observation, ranks })) loaded.add(domain);
    }
    return { all, loaded };
  }
}

interface CandidateDomains {
  readonly all: ReadonlySet<string>;
  readonly loaded: ReadonlySet<string>;
}
