import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Random numbers of a seed. */
export class RigRandom {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A whole number of the range, both ends included. */
  integer(from: number, to: number): number {
    return uniformInt(this.#generator, from, to);
  }

  pick<Value>(values: readonly Value[]): Value {
    return values[this.integer(0, values.length - 1)]!;
  }
}
