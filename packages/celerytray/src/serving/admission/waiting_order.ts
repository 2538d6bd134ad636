/** What the order of waiting requests depends on. */
export interface OrderedRequest {
  /** Organisation; empty where requests need no key. */
  readonly tenant: string;
  /** Rank; 0 goes first. */
  readonly priority: number;
  /** Time up to which an answer is on time. */
  readonly targetAtMs: number;
  /** Time up to which an answer is of any use. */
  readonly deadlineAtMs: number;
  /** Whether its caller was refused before. */
  readonly wasRefused: boolean;
  readonly arrivedAtMs: number;
}

/** Times that a model's requests usually take once they are sent. */
export interface UsualTimes {
  /** Until the first byte of nearly all answers. */
  readonly firstByteMs: number;
  /** Until the end of the answer. */
  readonly serviceMs: number;
}

/** Differences in slack below this leave the order to the next criterion. */
const SLACK_STEP_MS = 50;

/** Whether a request that is sent now is answered on time. */
export function canMeetTarget(
  { arrivedAtMs, targetAtMs }: OrderedRequest,
  { firstByteMs }: UsualTimes,
  nowMs: number,
): boolean {
  const mostMs = (targetAtMs - arrivedAtMs) * MAX_FIRST_BYTE_PART;
  return nowMs + Math.min(firstByteMs, mostMs) <= targetAtMs;
}

/**
 * Part of its target time that a request is taken to need at most. Otherwise a
 * time of slow answers would make all later requests count as late, and none
 * of them would show that answers are fast again.
 */
const MAX_FIRST_BYTE_PART = 0.6;

/** Latest time at which a request can be sent to be answered at all. */
export function latestStartMs(
  { arrivedAtMs, deadlineAtMs }: OrderedRequest,
  { serviceMs }: UsualTimes,
): number {
  const budgetMs = deadlineAtMs - arrivedAtMs;
  return deadlineAtMs - Math.min(serviceMs, budgetMs * MAX_SERVICE_PART);
}

/**
 * Part of its time that a request's service is taken to need at most, so that
 * slow answers of the past don't refuse requests that would be served.
 */
const MAX_SERVICE_PART = 0.8;

/** Negative where the first of two requests of one organisation goes first. */
export function compareWaiting(
  a: OrderedRequest,
  b: OrderedRequest,
  { usual, nowMs }: { readonly usual: UsualTimes; readonly nowMs: number },
): number {
  const isInTime = canMeetTarget(a, usual, nowMs);
  const otherInTime = canMeetTarget(b, usual, nowMs);
  if (isInTime !== otherInTime) return isInTime ? -1 : 1;
  if (a.priority !== b.priority) return a.priority - b.priority;
  const slack = isInTime
    ? toSteps(a.targetAtMs) - toSteps(b.targetAtMs)
    : toSteps(a.deadlineAtMs) - toSteps(b.deadlineAtMs);
  if (slack !== 0) return slack;
  if (a.wasRefused !== b.wasRefused) return a.wasRefused ? -1 : 1;
  return a.arrivedAtMs - b.arrivedAtMs;
}

function toSteps(atMs: number): number {
  return Math.floor(atMs / SLACK_STEP_MS);
}
