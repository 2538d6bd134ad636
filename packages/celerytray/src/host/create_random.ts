import { randomInt } from "node:crypto";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const STEPS = 2 ** 30;

/**
 * Creates a generator of random numbers from 0 up to 1, with a random seed per
 * process.
 */
export function createRandom(): () => number {
  const generator = xoroshiro128plus(randomInt(STEPS));
  return () => uniformInt(generator, 0, STEPS - 1) / STEPS;
}
