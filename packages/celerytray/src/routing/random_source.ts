import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Draws list members with a seeded generator. */
export class RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /**
   * Returns a random member that is not excluded, or undefined if none is
   * found.
   */
  draw<Member extends { readonly replicaId: string }>(
    members: readonly Member[],
    excludedIds?: ReadonlySet<string>,
  ): Member | undefined {
    if (members.length === 0) return undefined;
    const start = uniformInt(this.#generator, 0, members.length - 1);
    if (excludedIds === undefined || excludedIds.size === 0) {
      return members[start];
    }
    const limit = Math.min(members.length, excludedIds.size + 1);
    for (let step = 0; step < limit; step++) {
      const member = members[(start + step) % members.length]!;
      if (!excludedIds.has(member.replicaId)) return member;
    }
    return undefined;
  }
}
