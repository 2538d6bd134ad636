/** Creates the table row with the median and the maximum of a run's delays. */
export function summariseDelays(run: string, delaysMs: readonly number[]) {
  const sorted = delaysMs.toSorted((a, b) => a - b);
  return {
    run,
    changes: sorted.length,
    medianMs: Math.round(sorted[Math.floor(sorted.length / 2)] ?? Infinity),
    maxMs: Math.round(sorted.at(-1) ?? Infinity),
  };
}
