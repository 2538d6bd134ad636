/** Times after which absent members came back, by powers of two. */
export interface ReturnTimes {
  /** Absences that lasted into each bucket. */
  readonly reached: readonly number[];
  /** Absences that ended in each bucket with the weights still held. */
  readonly returned: readonly number[];
}

/** Age of an absence at which the second bucket starts. */
const FIRST_BUCKET_MS = 8_000;
const BUCKET_COUNT = 12;
/** Weight of the assumption that half of the absences end per bucket. */
const PRIOR_COUNT = 4;
const PRIOR_RETURN_SHARE = 0.5;
/** Absences after which older ones count half. */
const MEMORY_COUNT = 512;

/** Nothing observed yet. */
export function emptyReturnTimes(): ReturnTimes {
  const zeros = Array.from({ length: BUCKET_COUNT }, () => 0);
  return { reached: zeros, returned: zeros };
}

/** Bucket of an absence's age. */
export function findBucket(ageMs: number): number {
  if (ageMs < FIRST_BUCKET_MS) return 0;
  const bucket = 1 + Math.floor(Math.log2(ageMs / FIRST_BUCKET_MS));
  return Math.min(bucket, BUCKET_COUNT - 1);
}

/** Counts an absence that lasted into a bucket. */
export function noteReached(times: ReturnTimes, bucket: number): ReturnTimes {
  const aged = times.reached[0]! > MEMORY_COUNT ? halve(times) : times;
  return { ...aged, reached: addOne(aged.reached, bucket) };
}

/** Counts an absence that ended in a bucket. */
export function noteReturned(times: ReturnTimes, bucket: number): ReturnTimes {
  return { ...times, returned: addOne(times.returned, bucket) };
}

/** Costs of waiting for an absent member. */
export interface WaitCost {
  readonly ageMs: number;
  /** Time that a repair takes once it is chosen. */
  readonly repairMs: number;
}

/**
 * The least expected time until a replica serves again over all times at which
 * waiting could be given up for a repair; `repairMs` if waiting does not pay.
 */
export function expectWaitMs(times: ReturnTimes, cost: WaitCost): number {
  let best = cost.repairMs;
  let waitedMs = 0;
  let survival = 1;
  const first = findBucket(cost.ageMs);
  for (let bucket = first; bucket < BUCKET_COUNT; bucket++) {
    const startMs = Math.max(cost.ageMs, bucketStartMs(bucket));
    const widthMs = bucketStartMs(bucket + 1) - startMs;
    const share = returnShare(times, bucket);
    waitedMs += survival * (widthMs * (1 - share) + widthMs / 2 * share);
    survival *= 1 - share;
    best = Math.min(best, waitedMs + survival * cost.repairMs);
  }
  return best;
}

function returnShare(times: ReturnTimes, bucket: number): number {
  const returned = times.returned[bucket]! + PRIOR_COUNT * PRIOR_RETURN_SHARE;
  const reached = times.reached[bucket]! + PRIOR_COUNT;
  return Math.min(1, returned / reached);
}

function bucketStartMs(bucket: number): number {
  return bucket === 0 ? 0 : FIRST_BUCKET_MS * 2 ** (bucket - 1);
}

function halve(times: ReturnTimes): ReturnTimes {
  return {
    reached: times.reached.map((count) => count / 2),
    returned: times.returned.map((count) => count / 2),
  };
}

function addOne(counts: readonly number[], bucket: number): number[] {
  return counts.map((count, index) => index === bucket ? count + 1 : count);
}
