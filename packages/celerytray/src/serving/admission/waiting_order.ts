/** Fields that determine the order of waiting requests. */
export interface OrderedRequest {
  /** Organisation; empty where requests need no key. */
  readonly tenant: string;
  /** 0 is served first. */
  readonly priority: number;
  /** Time by which the first byte is on time. */
  readonly targetAtMs: number;
  /** Time after which an answer is of no use. */
  readonly deadlineAtMs: number;
  /** Time at which its caller leaves unless the first byte has arrived. */
  readonly leavesAtMs?: number;
  /** Whether the caller was refused before. */
  readonly wasRefused: boolean;
  readonly arrivedAtMs: number;
}

/** Typical times of a model's requests, measured from sending. */
export interface TypicalTimes {
  /** Time until the first byte, for nearly all answers. */
  readonly firstByteMs: number;
  /** Mean time until the end of the answer. */
  readonly serviceMs: number;
}

/** Slack is compared at this resolution; ties go to the next criterion. */
const SLACK_RESOLUTION_MS = 50;

/** Whether a request that is sent now is expected to be answered on time. */
export function canMeetTarget(
  { arrivedAtMs, targetAtMs }: OrderedRequest,
  { firstByteMs }: TypicalTimes,
  nowMs: number,
): boolean {
  const maxFirstByteMs = (targetAtMs - arrivedAtMs) * MAX_FIRST_BYTE_FRACTION;
  return nowMs + Math.min(firstByteMs, maxFirstByteMs) <= targetAtMs;
}

/**
 * Upper bound of the estimated first-byte time, as a fraction of the target
 * time. Without it, a period of slow answers would make all later requests
 * count as late, and none of them would show that answers are fast again.
 */
const MAX_FIRST_BYTE_FRACTION = 0.6;

/**
 * Latest time of sending at which a request can still meet its deadline, and
 * its caller still waits for the first byte.
 */
export function latestStartMs(
  { arrivedAtMs, deadlineAtMs, leavesAtMs }: OrderedRequest,
  { firstByteMs, serviceMs }: TypicalTimes,
): number {
  const startBefore = (atMs: number, expectedMs: number) =>
    atMs - Math.min(expectedMs, (atMs - arrivedAtMs) * MAX_SERVICE_FRACTION);
  const forDeadlineMs = startBefore(deadlineAtMs, serviceMs);
  return leavesAtMs === undefined
    ? forDeadlineMs
    : Math.min(forDeadlineMs, startBefore(leavesAtMs, firstByteMs));
}

/**
 * Upper bound of the estimated times, as a fraction of the time budget, so that slow answers in the past don't refuse requests that would be served.
 */
const MAX_SERVICE_FRACTION = 0.8;

/** Comparator of two requests of one organisation; negative if `a` is first. */
export function compareWaiting(
  a: OrderedRequest,
  b: OrderedRequest,
  { typicalTimes, nowMs }: {
    readonly typicalTimes: TypicalTimes;
    readonly nowMs: number;
  },
): number {
  const isOnTime = canMeetTarget(a, typicalTimes, nowMs);
  const isOtherOnTime = canMeetTarget(b, typicalTimes, nowMs);
  if (isOnTime !== isOtherOnTime) return isOnTime ? -1 : 1;
  if (a.priority !== b.priority) return a.priority - b.priority;
  const slack = isOnTime
    ? quantise(a.targetAtMs) - quantise(b.targetAtMs)
    : quantise(a.deadlineAtMs) - quantise(b.deadlineAtMs);
  if (slack !== 0) return slack;
  if (a.wasRefused !== b.wasRefused) return a.wasRefused ? -1 : 1;
  return a.arrivedAtMs - b.arrivedAtMs;
}

function quantise(atMs: number): number {
  return Math.floor(atMs / SLACK_RESOLUTION_MS);
}
