import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Seeded draws of a plan. */
export class PlanRandom {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  integer(low: number, high: number): number {
    return uniformInt(this.#generator, low, high);
  }

  pick<Item>(items: readonly Item[]): Item {
    return items[this.integer(0, items.length - 1)]!;
  }
}
