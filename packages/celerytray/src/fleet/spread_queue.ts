import type { DomainPool } from "./domain_pool.ts";

interface ZoneQueue {
  replicaCount: number;
  /** Domains by their number of the service's replicas. */
  readonly byCount: DomainPool[][];
}

/** Options of a queue. */
export interface SpreadQueueOptions {
  readonly pools: Iterable<DomainPool>;
  /** Replicas of the service in each fabric domain. */
  readonly replicaCounts: ReadonlyMap<string, number>;
}

/**
 * Domains in the order in which a service's replicas spread best: the zone
 * with the fewest of them first, then the domain with the fewest.
 */
export class SpreadQueue {
  readonly #zones = new Map<string, ZoneQueue>();

  constructor({ pools, replicaCounts }: SpreadQueueOptions) {
    for (const pool of pools) {
      const zone = this.#openZone(pool.availabilityZone);
      const count = replicaCounts.get(pool.fabricDomain) ?? 0;
      zone.replicaCount += count;
      if (pool.free.size > 0) push(zone, { pool, count });
    }
  }

  /** The next domain that fits, which counts as used; others are dropped. */
  take(fits: (pool: DomainPool) => boolean): DomainPool | undefined {
    const zones = [...this.#zones.values()].sort((a, b) =>
      a.replicaCount - b.replicaCount
    );
    for (const zone of zones) {
      const pool = takeFromZone(zone, fits);
      if (pool !== undefined) return pool;
    }
    return undefined;
  }

  #openZone(name: string): ZoneQueue {
    let zone = this.#zones.get(name);
    if (zone === undefined) {
      zone = { replicaCount: 0, byCount: [] };
      this.#zones.set(name, zone);
    }
    return zone;
  }
}

/** Drops domains that do not fit: within a round they only shrink. */
function takeFromZone(
  zone: ZoneQueue,
  fits: (pool: DomainPool) => boolean,
): DomainPool | undefined {
  for (const [count, pools] of zone.byCount.entries()) {
    while (pools !== undefined && pools.length > 0) {
      const pool = pools.pop()!;
      if (!fits(pool)) continue;
      push(zone, { pool, count: count + 1 });
      zone.replicaCount += 1;
      return pool;
    }
  }
  return undefined;
}

function push(
  zone: ZoneQueue,
  entry: { readonly pool: DomainPool; readonly count: number },
): void {
  (zone.byCount[entry.count] ??= []).push(entry.pool);
}
