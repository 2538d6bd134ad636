import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const RANDOM_RANGE = 0x3fffffff;

/** Seeded random numbers for generated load. */
export class BenchRandom {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Uniform in (0, 1]. */
  unit(): number {
    return uniformInt(this.#generator, 1, RANDOM_RANGE) / RANDOM_RANGE;
  }

  integer(low: number, high: number): number {
    return uniformInt(this.#generator, low, high);
  }

  exponential(mean: number): number {
    return -Math.log(this.unit()) * mean;
  }
}

/** Samples indexes from a Zipf distribution: the n-th has weight 1/n. */
export class ZipfSampler {
  readonly #cumulative: number[] = [];

  constructor(count: number) {
    let sum = 0;
    for (let rank = 1; rank <= count; rank++) {
      sum += 1 / rank;
      this.#cumulative.push(sum);
    }
  }

  sample(random: BenchRandom): number {
    const threshold = random.unit() * this.#cumulative.at(-1)!;
    let low = 0;
    let high = this.#cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#cumulative[middle]! < threshold) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
