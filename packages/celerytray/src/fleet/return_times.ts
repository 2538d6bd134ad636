/** Histogram of absence durations, in buckets of powers of two. */
export interface ReturnTimes {
  /** Number of absences that lasted into each bucket. */
  readonly reached: readonly number[];
  /** Number of absences that ended in each bucket with weights still held. */
  readonly returned: readonly number[];
}

/** Start of the second bucket. */
const FIRST_BUCKET_MS = 8_000;
const BUCKET_COUNT = 12;
/** Number of absences that the prior share counts as. */
const PRIOR_COUNT = 4;
/** Prior share of the absences that end in each bucket. */
const PRIOR_RETURN_SHARE = 0.5;
/** Number of absences above which all counts are halved. */
const DECAY_THRESHOLD = 512;

/** Return times without any observation. */
export function emptyReturnTimes(): ReturnTimes {
  const zeros = Array.from({ length: BUCKET_COUNT }, () => 0);
  return { reached: zeros, returned: zeros };
}

/** Index of the bucket for the age of an absence. */
export function findBucket(ageMs: number): number {
  if (ageMs < FIRST_BUCKET_MS) return 0;
  const bucket = 1 + Math.floor(Math.log2(ageMs / FIRST_BUCKET_MS));
  return Math.min(bucket, BUCKET_COUNT - 1);
}

/** Counts an absence that lasted into a bucket. */
export function noteReached(times: ReturnTimes, bucket: number): ReturnTimes {
  const decayed = times.reached[0]! > DECAY_THRESHOLD ? halve(times) : times;
  return { ...decayed, reached: addOne(decayed.reached, bucket) };
}

/** Counts an absence that ended in a bucket. */
export function noteReturned(times: ReturnTimes, bucket: number): ReturnTimes {
  return { ...times, returned: addOne(times.returned, bucket) };
}

/** Input of `estimateWaitMs`. */
export interface WaitInput {
  /** Age of the absence. */
  readonly ageMs: number;
  /** Duration of a repair. */
  readonly repairMs: number;
}

/**
 * Minimum expected time until a replica serves again, over all bucket limits
 * at which waiting could end in a repair; `repairMs` if waiting does not pay.
 */
export function estimateWaitMs(times: ReturnTimes, input: WaitInput): number {
  let best = input.repairMs;
  let waitedMs = 0;
  let survival = 1;
  const first = findBucket(input.ageMs);
  for (let bucket = first; bucket < BUCKET_COUNT; bucket++) {
    const startMs = Math.max(input.ageMs, bucketStartMs(bucket));
    const widthMs = bucketStartMs(bucket + 1) - startMs;
    const share = returnShare(times, bucket);
    waitedMs += survival * (widthMs * (1 - share) + widthMs / 2 * share);
    survival *= 1 - share;
    best = Math.min(best, waitedMs + survival * input.repairMs);
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
