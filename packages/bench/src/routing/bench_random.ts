import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const RESOLUTION = 0x3fffffff;

/** Seeded draws for loads. */
export class BenchRandom {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Between 0 and 1, never 0. */
  unit(): number {
    return uniformInt(this.#generator, 1, RESOLUTION) / RESOLUTION;
  }

  integer(low: number, high: number): number {
    return uniformInt(this.#generator, low, high);
  }

  exponential(mean: number): number {
    return -Math.log(this.unit()) * mean;
  }
}

/** Draws indexes so that the n-th has weight 1/n. */
export class ZipfDraw {
  readonly #cumulative: number[] = [];

  constructor(count: number) {
    let sum = 0;
    for (let rank = 1; rank <= count; rank++) {
      sum += 1 / rank;
      this.#cumulative.push(sum);
    }
  }

  draw(random: BenchRandom): number {
    const wanted = random.unit() * this.#cumulative.at(-1)!;
    let low = 0;
    let high = this.#cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#cumulative[middle]! < wanted) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
