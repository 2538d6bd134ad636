import type { ModelService } from "@celerytray/schema";
import type { Damage } from "./assess_replica.ts";
import {
  type DomainPool,
  holdsRanks,
  takeForRanks,
  type TakeOptions,
} from "./domain_pool.ts";
import {
  expectLoadMs,
  type FleetEstimates,
  isStoreStalled,
} from "./fleet_estimates.ts";
import { groupBy } from "../collections/index.ts";
import type { FleetObservation, FleetProposal } from "./planner_types.ts";
import { expectWaitMs } from "./return_times.ts";

/** What repairs are chosen from; pools shrink and grow with each choice. */
export interface RepairInput {
  readonly observation: FleetObservation;
  readonly estimates: FleetEstimates;
  readonly pools: ReadonlyMap<string, DomainPool>;
  readonly findDomain: (damage: Damage) => string;
  readonly findService: (damage: Damage) => ModelService;
  /** Replicas of each service beyond the number wanted. */
  readonly surplusCounts: ReadonlyMap<string, number>;
  readonly countGroups: (
    service: ModelService,
    exceptDomain: string,
  ) => GroupCount;
}

/** Fabric domains outside a replica's own that could take it. */
export interface GroupCount {
  readonly all: number;
  /** Those where all its weights are loaded. */
  readonly loaded: number;
}

/** Changes that repair damaged replicas, those that free instances first. */
export interface Repairs {
  readonly dissolutions: readonly FleetProposal[];
  readonly replacements: readonly FleetProposal[];
  /** Identifiers of the replicas dissolved. */
  readonly dissolved: ReadonlySet<string>;
}

/** Time of a repair that needs no load. */
const HOT_REPAIR_MS = 3_000;

/**
 * Chooses for each damaged replica between waiting, a spare of its fabric
 * domain, and dissolving it: to form anew elsewhere, or so that its members
 * complete another one.
 */
export function repairReplicas(
  damages: readonly Damage[],
  input: RepairInput,
): Repairs {
  const round = new RepairRound(input);
  const needed = damages.filter((damage) => !round.tryYield(damage));
  const ordered = needed.toSorted((a, b) =>
    damagedRanks(a).length - damagedRanks(b).length ||
    a.replica.fencingNumber - b.replica.fencingNumber
  );
  const unrepaired = ordered.filter((damage) => !round.tryReplace(damage));
  const remaining = unrepaired.filter((damage) => !round.tryMove(damage));
  round.combine(remaining);
  return round;
}

class RepairRound implements Repairs {
  readonly dissolutions: FleetProposal[] = [];
  readonly replacements: FleetProposal[] = [];
  readonly dissolved = new Set<string>();
  readonly #input: RepairInput;
  readonly #yielded = new Map<string, number>();
  readonly #moved = new Map<string, number>();

  constructor(input: RepairInput) {
    this.#input = input;
  }

  /** Replaces the faulty members by spares if that costs less than waiting. */
  tryReplace(damage: Damage): boolean {
    const pool = this.#input.pools.get(this.#input.findDomain(damage));
    if (pool === undefined) return false;
    const { faultyRanks, coldRanks } = damage;
    const all = [...faultyRanks, ...coldRanks];
    const isHot = holdsRanks(pool, this.#takeOptions(damage, all));
    const ranks = isHot ? all : faultyRanks;
    if (ranks.length === 0) return false;
    const repairMs = isHot ? HOT_REPAIR_MS : this.#loadMs();
    if (this.#isWaitBetter(damage, repairMs)) return false;
    return this.#replace(damage, { pool, ranks });
  }

  /** Dissolves a broken replica beyond those wanted; its members are spares. */
  tryYield(damage: Damage): boolean {
    if (damage.absentForMs === undefined) return false;
    const { service } = damage.replica;
    const surplus = this.#input.surplusCounts.get(service) ?? 0;
    const yielded = this.#yielded.get(service) ?? 0;
    if (yielded >= surplus) return false;
    this.#yielded.set(service, yielded + 1);
    const pool = this.#input.pools.get(this.#input.findDomain(damage));
    const survivors = findSurvivors(damage, this.#input.observation);
    for (const member of survivors) pool?.free.add(member);
    this.#dissolve(damage, "not wanted");
    return true;
  }

  /** Dissolves a replica that can be formed in another domain. */
  tryMove(damage: Damage): boolean {
    if (damage.slowLossMs > 0) return false;
    const { replica, faultyRanks } = damage;
    const domain = this.#input.findDomain(damage);
    const service = this.#input.findService(damage);
    const room = this.#input.countGroups(service, domain);
    const moved = this.#moved.get(replica.service) ?? 0;
    const isHot = room.loaded > moved;
    if (!isHot && (room.all <= moved || faultyRanks.length === 0)) return false;
    const repairMs = isHot ? HOT_REPAIR_MS : this.#loadMs() * MOVE_LOADS;
    if (this.#isWaitBetter(damage, repairMs)) return false;
    this.#moved.set(replica.service, moved + 1);
    this.#dissolve(damage, "moves");
    return true;
  }

  /** Dissolves the most damaged of a domain so that it completes others. */
  combine(damages: readonly Damage[]): void {
    const lasting = damages.filter((damage) =>
      damage.slowLossMs === 0 &&
      !this.#isWaitBetter(damage, this.#input.estimates.loadMs * MOVE_LOADS)
    );
    const byDomain = groupBy(lasting, this.#input.findDomain);
    for (const [domain, broken] of byDomain) {
      const pool = this.#input.pools.get(domain);
      if (pool !== undefined) this.#combineDomain(broken, pool);
    }
  }

  #combineDomain(broken: Damage[], pool: DomainPool): void {
    while (broken.length > 1) {
      const donor = broken.at(-1)!;
      const survivors = findSurvivors(donor, this.#input.observation);
      const joined = { ...pool, free: new Set([...pool.free, ...survivors]) };
      if (!this.#canComplete(broken[0]!, joined)) return;
      broken.pop();
      for (const member of survivors) pool.free.add(member);
      this.#dissolve(donor, "completes others");
      while (
        broken.length > 0 &&
        this.#replace(broken[0]!, { pool, ranks: damagedRanks(broken[0]!) })
      ) broken.shift();
    }
  }

  /** Completing what only lacks loads pays if none is needed then. */
  #canComplete(damage: Damage, pool: DomainPool): boolean {
    const { estimates, observation } = this.#input;
    const ranks = damagedRanks(damage);
    const needsWeights = damage.faultyRanks.length === 0 ||
      isStoreStalled(estimates, observation.nowMs);
    return needsWeights
      ? holdsRanks(pool, this.#takeOptions(damage, ranks))
      : pool.free.size >= ranks.length;
  }

  #replace(
    damage: Damage,
    { pool, ranks }: {
      readonly pool: DomainPool;
      readonly ranks: readonly number[];
    },
  ): boolean {
    const { replica, reason } = damage;
    const taken = takeForRanks(pool, this.#takeOptions(damage, ranks));
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

  #dissolve(damage: Damage, purpose: string): void {
    const { replica, reason } = damage;
    this.dissolved.add(replica.replicaId);
    this.dissolutions.push({
      kind: "dissolve",
      service: replica.service,
      slot: replica.slot,
      fencingNumber: replica.fencingNumber,
      reason: `${reason}; ${purpose}`,
    });
  }

  #takeOptions(damage: Damage, ranks: readonly number[]): TakeOptions {
    const { observation } = this.#input;
    return { service: this.#input.findService(damage), observation, ranks };
  }

  #isWaitBetter(damage: Damage, repairMs: number): boolean {
    if (damage.slowLossMs > 0) return damage.slowLossMs < repairMs;
    if (damage.isLasting) return false;
    const { returnTimes } = this.#input.estimates;
    const ageMs = damage.absentForMs;
    const returnMs = ageMs === undefined
      ? 0
      : expectWaitMs(returnTimes, { ageMs, repairMs });
    return Math.max(returnMs, damage.loadingMs) < repairMs;
  }

  #loadMs(): number {
    const { estimates, observation } = this.#input;
    return expectLoadMs(estimates, observation.nowMs);
  }
}

/** Loads' time for which forming a whole replica elsewhere counts. */
const MOVE_LOADS = 2;

function findSurvivors(
  { replica, faultyRanks }: Damage,
  observation: FleetObservation,
): string[] {
  return replica.members.filter((member, rank) =>
    !faultyRanks.includes(rank) && observation.observations.has(member)
  );
}

function damagedRanks({ faultyRanks, coldRanks }: Damage): number[] {
  return [...faultyRanks, ...coldRanks];
}
