/** Size of a sample, and the source of randomness. */
export interface SampleOptions {
  readonly count: number;
  /** Returns a number from 0 up to but not including 1. */
  readonly random: () => number;
}

/** Chooses some items at random, each at most once. */
export function sample<Item>(
  items: readonly Item[],
  { count, random }: SampleOptions,
): Item[] {
  const rest = [...items];
  const chosen: Item[] = [];
  while (chosen.length < count && rest.length > 0) {
    const index = Math.floor(random() * rest.length);
    chosen.push(...rest.splice(index, 1));
  }
  return chosen;
}
