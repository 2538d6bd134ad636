/** Requests of one kind that arrive in one window. */
export interface BoundArrivals {
  readonly window: number;
  /** Work of all of them, in parts of what a window has capacity for. */
  readonly work: number;
  /** Value of a request for each part of that work. */
  readonly density: number;
  /** Windows that may pass until the work is done. */
  readonly patience: number;
}

/**
 * Upper bound of the value that any schedule with full knowledge serves. Work
 * may be split, so that the sets that can be served form a polymatroid. Its
 * greedy solution is optimal: each density adds what it lets be served more.
 */
export function boundValue(
  arrivals: readonly BoundArrivals[],
  capacities: readonly number[],
): number {
  const densities = [...new Set(arrivals.map(({ density }) => density))]
    .sort((a, b) => b - a);
  let value = 0;
  let servedBefore = 0;
  for (const density of densities) {
    const best = arrivals.filter((one) => one.density >= density);
    const served = mostServed(best, capacities);
    value += (served - servedBefore) * density;
    servedBefore = served;
  }
  return value;
}

/** Most work that can be served in time: the earliest deadline goes first. */
function mostServed(
  arrivals: readonly BoundArrivals[],
  capacities: readonly number[],
): number {
  let served = 0;
  let pending: { work: number; readonly lastWindow: number }[] = [];
  for (const [window, capacity] of capacities.entries()) {
    for (const one of arrivals) {
      if (one.window !== window) continue;
      pending.push({ work: one.work, lastWindow: window + one.patience });
    }
    pending = pending
      .filter(({ work, lastWindow }) => work > 0 && lastWindow >= window)
      .sort((a, b) => a.lastWindow - b.lastWindow);
    let left = capacity;
    for (const one of pending) {
      const done = Math.min(left, one.work);
      one.work -= done;
      left -= done;
      served += done;
    }
  }
  return served;
}
