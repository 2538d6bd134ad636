import { hashText, mixHash } from "./hash_text.ts";
import type { ReplicaLoad } from "./router.ts";

interface RingPoint<Candidate> {
  readonly position: number;
  readonly candidate: Candidate;
}

/** Candidates by ID and on a consistent-hashing ring. */
export class ReplicaRing<Candidate extends ReplicaLoad> {
  readonly #byId: ReadonlyMap<string, Candidate>;
  readonly #points: readonly RingPoint<Candidate>[];

  constructor(candidates: readonly Candidate[]) {
    this.#byId = new Map(
      candidates.map((candidate) => [candidate.replicaId, candidate]),
    );
    this.#points = candidates
      .map((candidate) => ({
        position: hashText(candidate.replicaId),
        candidate,
      }))
      .sort((a, b) => a.position - b.position);
  }

  find(replicaId: string): Candidate | undefined {
    return this.#byId.get(replicaId);
  }

  /**
   * Returns the replicas that own a prefix on the ring, which all entry
   * instances compute alike without coordination.
   */
  findOwners(prefixHash: number, count: number): Candidate[] {
    const owners: Candidate[] = [];
    for (let index = 0; index < count; index++) {
      const owner = this.#findNext(mixHash(prefixHash + index));
      if (owner !== undefined) owners.push(owner);
    }
    return owners;
  }

  #findNext(position: number): Candidate | undefined {
    let low = 0;
    let high = this.#points.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#points[middle]!.position < position) low = middle + 1;
      else high = middle;
    }
    return this.#points[low % this.#points.length]?.candidate;
  }
}
