import type { DomainPool } from "./domain_pool.ts";

interface ZoneQueue {
  replicaCount: number;
  /** Domains, indexed by their number of the service's replicas. */
  readonly byCount: DomainPool[][];
}

/** Options of a spread queue. */
export interface SpreadQueueOptions {
  readonly pools: Iterable<DomainPool>;
  /** Number of the service's replicas in each fabric domain. */
  readonly replicaCounts: ReadonlyMap<string, number>;
}

/**
 * Yields fabric domains so that a service's replicas spread evenly: from the
 * zone with the fewest of them, the domain with the fewest.
 */
export class SpreadQueue {
  readonly #zones = new Map<string, ZoneQueue>();

  constructor({ pools, replicaCounts }: SpreadQueueOptions) {
    for (const pool of pools) {
      const zone = this.#getOrCreateZone(pool.availabilityZone);
      const count = replicaCounts.get(pool.fabricDomain) ?? 0;
      zone.replicaCount += count;
      if (pool.free.size > 0) push(zone, { pool, count });
    }
  }

  /** Counts a replica in the next domain that fits; drops those that do not. */
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

  #getOrCreateZone(name: string): ZoneQueue {
    let zone = this.#zones.get(name);
    if (zone === undefined) {
      zone = { replicaCount: 0, byCount: [] };
      this.#zones.set(name, zone);
    }
    return zone;
  }
}

/** Drops domains that do not fit, since pools only shrink within a round. */
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
