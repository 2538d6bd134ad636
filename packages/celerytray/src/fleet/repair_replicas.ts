import type { ModelService } from "@celerytray/schema";
import type { ReplicaFault } from "./assess_replica.ts";
import {
  type DomainPool,
  holdsRanks,
  takeForRanks,
  type TakeOptions,
} from "./domain_pool.ts";
import {
  estimateLoadMs,
  type FleetEstimates,
  isStoreStalled,
} from "./fleet_estimates.ts";
import { groupBy } from "../collections/index.ts";
import type { FleetObservation, FleetProposal } from "./planner_types.ts";
import { estimateWaitMs } from "./return_times.ts";

/** Input of `repairReplicas`; each repair changes the pools. */
export interface RepairInput {
  readonly observation: FleetObservation;
  readonly estimates: FleetEstimates;
  readonly pools: ReadonlyMap<string, DomainPool>;
  readonly findDomain: (fault: ReplicaFault) => string;
  readonly findService: (fault: ReplicaFault) => ModelService;
  /** Number of replicas beyond the wanted number, by service. */
  readonly surplusCounts: ReadonlyMap<string, number>;
  readonly countDomains: (
    service: ModelService,
    exceptDomain: string,
  ) => DomainCount;
}

/** Numbers of other fabric domains that can take a replica. */
export interface DomainCount {
  readonly all: number;
  /** Domains whose free instances hold all its weights. */
  readonly loaded: number;
}

/** Changes that repair faulty replicas; dissolutions free instances first. */
export interface Repairs {
  readonly dissolutions: readonly FleetProposal[];
  readonly replacements: readonly FleetProposal[];
  /** Identifiers of the replicas dissolved. */
  readonly dissolved: ReadonlySet<string>;
}

/** Duration of a hot repair, which needs no load of weights. */
const HOT_REPAIR_MS = 3_000;

/**
 * Chooses for each faulty replica between waiting, replacing members by spares
 * of its fabric domain, and dissolving it: to form it again in another domain,
 * or to complete another replica with its members.
 */
export function repairReplicas(
  faults: readonly ReplicaFault[],
  input: RepairInput,
): Repairs {
  const round = new RepairRound(input);
  const needed = faults.filter((fault) => !round.tryDissolveSurplus(fault));
  const ordered = needed.toSorted((a, b) =>
    listAffectedRanks(a).length - listAffectedRanks(b).length ||
    a.replica.fencingNumber - b.replica.fencingNumber
  );
  const unrepaired = ordered.filter((fault) => !round.tryReplace(fault));
  const remaining = unrepaired.filter((fault) => !round.tryRelocate(fault));
  round.consolidate(remaining);
  return round;
}

class RepairRound implements Repairs {
  readonly dissolutions: FleetProposal[] = [];
  readonly replacements: FleetProposal[] = [];
  readonly dissolved = new Set<string>();
  readonly #input: RepairInput;
  readonly #surplusDissolved = new Map<string, number>();
  readonly #relocated = new Map<string, number>();

  constructor(input: RepairInput) {
    this.#input = input;
  }

  /** Replaces faulty members by spares if that costs less than waiting. */
  tryReplace(fault: ReplicaFault): boolean {
    const pool = this.#input.pools.get(this.#input.findDomain(fault));
    if (pool === undefined) return false;
    const { faultyRanks, coldRanks } = fault;
    const all = [...faultyRanks, ...coldRanks];
    const isHot = holdsRanks(pool, this.#takeOptions(fault, all));
    const ranks = isHot ? all : faultyRanks;
    if (ranks.length === 0) return false;
    const repairMs = isHot ? HOT_REPAIR_MS : this.#loadMs();
    if (this.#isWaitBetter(fault, repairMs)) return false;
    return this.#replace(fault, { pool, ranks });
  }

  /** Dissolves an incomplete surplus replica; its members become spares. */
  tryDissolveSurplus(fault: ReplicaFault): boolean {
    if (fault.absentForMs === undefined) return false;
    const { service } = fault.replica;
    const surplus = this.#input.surplusCounts.get(service) ?? 0;
    const dissolved = this.#surplusDissolved.get(service) ?? 0;
    if (dissolved >= surplus) return false;
    this.#surplusDissolved.set(service, dissolved + 1);
    const pool = this.#input.pools.get(this.#input.findDomain(fault));
    const survivors = findSurvivors(fault, this.#input.observation);
    for (const member of survivors) pool?.free.add(member);
    this.#dissolve(fault, "not wanted");
    return true;
  }

  /** Dissolves a replica that can be formed again in another domain. */
  tryRelocate(fault: ReplicaFault): boolean {
    if (fault.slowLossMs > 0) return false;
    const { replica, faultyRanks } = fault;
    const domain = this.#input.findDomain(fault);
    const service = this.#input.findService(fault);
    const room = this.#input.countDomains(service, domain);
    const moved = this.#relocated.get(replica.service) ?? 0;
    const isHot = room.loaded > moved;
    if (!isHot && (room.all <= moved || faultyRanks.length === 0)) return false;
    const repairMs = isHot ? HOT_REPAIR_MS : this.#loadMs() * RELOCATION_LOADS;
    if (this.#isWaitBetter(fault, repairMs)) return false;
    this.#relocated.set(replica.service, moved + 1);
    this.#dissolve(fault, "moves");
    return true;
  }

  /** Dissolves the most faulty replicas of a domain to complete others. */
  consolidate(faults: readonly ReplicaFault[]): void {
    const lasting = faults.filter((fault) =>
      fault.slowLossMs === 0 &&
      !this.#isWaitBetter(
        fault,
        this.#input.estimates.loadMs * RELOCATION_LOADS,
      )
    );
    const byDomain = groupBy(lasting, this.#input.findDomain);
    for (const [domain, domainFaults] of byDomain) {
      const pool = this.#input.pools.get(domain);
      if (pool !== undefined) this.#consolidateDomain(domainFaults, pool);
    }
  }

  #consolidateDomain(domainFaults: ReplicaFault[], pool: DomainPool): void {
    while (domainFaults.length > 1) {
      const donor = domainFaults.at(-1)!;
      const survivors = findSurvivors(donor, this.#input.observation);
      const joined = { ...pool, free: new Set([...pool.free, ...survivors]) };
      if (!this.#canComplete(domainFaults[0]!, joined)) return;
      domainFaults.pop();
      for (const member of survivors) pool.free.add(member);
      this.#dissolve(donor, "completes others");
      while (
        domainFaults.length > 0 &&
        this.#replace(domainFaults[0]!, {
          pool,
          ranks: listAffectedRanks(domainFaults[0]!),
        })
      ) domainFaults.shift();
    }
  }

  /**
   * Whether a pool can complete a replica. If the replica only lacks loads, or
   * the weight store has stalled, the pool must hold the weights already.
   */
  #canComplete(fault: ReplicaFault, pool: DomainPool): boolean {
    const { estimates, observation } = this.#input;
    const ranks = listAffectedRanks(fault);
    const needsLoadedWeights = fault.faultyRanks.length === 0 ||
      isStoreStalled(estimates, observation.nowMs);
    return needsLoadedWeights
      ? holdsRanks(pool, this.#takeOptions(fault, ranks))
      : pool.free.size >= ranks.length;
  }

  #replace(
    fault: ReplicaFault,
    { pool, ranks }: {
      readonly pool: DomainPool;
      readonly ranks: readonly number[];
    },
  ): boolean {
    const { replica, reason } = fault;
    const taken = takeForRanks(pool, this.#takeOptions(fault, ranks));
    if (taken === undefined) return false;
    this.replacements.push({
      kind: "replace",
      service: replica.service,
      slot: replica.slot,
      fencingNumber: replica.fencingNumber,
      members: replica.members.map((member, rank) => taken.get(rank) ?? member),
      reason,
    });
    return true;
  }

  #dissolve(fault: ReplicaFault, purpose: string): void {
    const { replica, reason } = fault;
    this.dissolved.add(replica.replicaId);
    this.dissolutions.push({
      kind: "dissolve",
      service: replica.service,
      slot: replica.slot,
      fencingNumber: replica.fencingNumber,
      reason: `${reason}; ${purpose}`,
    });
  }

  #takeOptions(fault: ReplicaFault, ranks: readonly number[]): TakeOptions {
    const { observation } = this.#input;
    return { service: this.#input.findService(fault), observation, ranks };
  }

  #isWaitBetter(fault: ReplicaFault, repairMs: number): boolean {
    if (fault.slowLossMs > 0) return fault.slowLossMs < repairMs;
    if (fault.isPermanent) return false;
    const { returnTimes } = this.#input.estimates;
    const ageMs = fault.absentForMs;
    const returnMs = ageMs === undefined
      ? 0
      : estimateWaitMs(returnTimes, { ageMs, repairMs });
    return Math.max(returnMs, fault.loadingMs) < repairMs;
  }

  #loadMs(): number {
    const { estimates, observation } = this.#input;
    return estimateLoadMs(estimates, observation.nowMs);
  }
}

/** Cost of forming a replica in another domain, in durations of a load. */
const RELOCATION_LOADS = 2;

function findSurvivors(
  { replica, faultyRanks }: ReplicaFault,
  observation: FleetObservation,
): string[] {
  return replica.members.filter((member, rank) =>
    !faultyRanks.includes(rank) && observation.observations.has(member)
  );
}

function listAffectedRanks({ faultyRanks, coldRanks }: ReplicaFault): number[] {
  return [...faultyRanks, ...coldRanks];
}
