/** Demand that the other entry instances report. */
export interface PeerDemand {
  /**
   * Requests a second offered for an organisation, by entry instance, this one
   * included; an instance that reports nothing has no entry.
   */
  demandOf(organisationName: string): ReadonlyMap<string, number>;
  /** Entry instances that may take requests, those out of reach included. */
  listEntryIds(): readonly string[];
}

/** Part of a limit that is split evenly, so that a newcomer can start. */
const EVEN_PART = 0.1;

/**
 * The part, 0 to 1, of an organisation's limit that one entry instance may
 * use. The parts of all add up to 1 where all see the same demand.
 */
export function computeShare(
  organisationName: string,
  options: { readonly entryId: string; readonly peers: PeerDemand },
): number {
  const { entryId, peers } = options;
  const ids = new Set([...peers.listEntryIds(), entryId]);
  const demands = peers.demandOf(organisationName);
  const evenShare = 1 / ids.size;
  let total = 0;
  for (const id of ids) total += Math.max(0, demands.get(id) ?? 0);
  if (total === 0) return evenShare;
  const own = Math.max(0, demands.get(entryId) ?? 0);
  return EVEN_PART * evenShare + (1 - EVEN_PART) * (own / total);
}

/** Equal shares, for as long as no demand is exchanged. */
export class EqualDemand implements PeerDemand {
  readonly #listEntryIds: () => readonly string[];

  constructor(options: { readonly listEntryIds: () => readonly string[] }) {
    this.#listEntryIds = options.listEntryIds;
  }

  demandOf(_organisationName: string): ReadonlyMap<string, number> {
    return new Map();
  }

  listEntryIds(): readonly string[] {
    return this.#listEntryIds();
  }
}
