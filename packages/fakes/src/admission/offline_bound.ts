/** Requests of one kind that arrive in one time window. */
export interface ArrivalGroup {
  readonly window: number;
  /** Work of all of them, in the unit of the capacities. */
  readonly work: number;
  /** Value per unit of work. */
  readonly density: number;
  /** Windows after the arrival by which the work must be done. */
  readonly slackWindows: number;
}

/**
 * Upper bound of the value that any schedule with full knowledge can serve.
 * Work may be split, so the servable sets form a polymatroid. The greedy
 * solution is optimal there: each density contributes the additional work that
 * can be served with it.
 */
export function offlineValueBound(
  arrivals: readonly ArrivalGroup[],
  capacities: readonly number[],
): number {
  const densities = [...new Set(arrivals.map(({ density }) => density))]
    .sort((a, b) => b - a);
  let value = 0;
  let servedAtHigherDensity = 0;
  for (const density of densities) {
    const eligible = arrivals.filter((one) => one.density >= density);
    const served = maxServedWork(eligible, capacities);
    value += (served - servedAtHigherDensity) * density;
    servedAtHigherDensity = served;
  }
  return value;
}

/** Maximum work that can be served in time, by earliest deadline first. */
function maxServedWork(
  arrivals: readonly ArrivalGroup[],
  capacities: readonly number[],
): number {
  let served = 0;
  let pending: { work: number; readonly lastWindow: number }[] = [];
  for (const [window, capacity] of capacities.entries()) {
    for (const one of arrivals) {
      if (one.window !== window) continue;
      pending.push({ work: one.work, lastWindow: window + one.slackWindows });
    }
    pending = pending
      .filter(({ work, lastWindow }) => work > 0 && lastWindow >= window)
      .sort((a, b) => a.lastWindow - b.lastWindow);
    let capacityLeft = capacity;
    for (const one of pending) {
      const done = Math.min(capacityLeft, one.work);
      one.work -= done;
      capacityLeft -= done;
      served += done;
    }
  }
  return served;
}
