/**
 * Intervals and timeouts of the status exchange, and the status ages that
 * follow from them. None depends on the number of processes: in large
 * deployments, relays pass the status on, which adds one hop.
 */

/** Longest time for which the leader holds a report before it replies. */
export const LEADER_HOLD_MS = 250;
/**
 * Longest time for which a relay holds a report. Relays reply to most
 * processes.
 */
export const RELAY_HOLD_MS = 1_000;
/** Time allowed for a reply beyond the hold time. */
export const REPLY_TIMEOUT_MS = 600;
/** Shortest time between two reports of a process. */
export const MIN_REPORT_INTERVAL_MS = 100;
/** Shortest hold time when only the instance list or configuration changed. */
export const MIN_UPDATE_INTERVAL_MS = 250;
/** Interval at which the leader publishes its status. */
export const PUBLISH_INTERVAL_MS = 100;
/**
 * Time after a takeover for which a new leader uses its predecessor's process
 * count and relays, as not all followers have reported to it yet.
 */
export const TAKEOVER_GRACE_MS = 3_000;
/** Pause before the records are read or leadership is claimed again. */
export const RETRY_DELAY_MS = 300;
/** Time for which a summary of all reports is reused. */
export const SUMMARY_CACHE_MS = 20;
/**
 * Interval at which a follower checks for news that ends its pending report.
 */
export const URGENT_CHECK_INTERVAL_MS = 100;

/** Longest time for which a read of the leader waits at the store. */
export const LEADER_READ_WAIT_MS = 500;

/**
 * Age up to which the relayed instance list is recent enough. Beyond it a process
 * reads the store itself. Relays have the lower limit, so they read
 * first and pass the result on.
 */
export function maxRelayedAgeMs(statusPath: StatusPath): number {
  return LEADER_READ_WAIT_MS + maxStatusAgeMs(statusPath) +
    RELAYED_AGE_MARGIN_MS;
}

const RELAYED_AGE_MARGIN_MS = 50;

/**
 * Age of the relayed configuration up to which a process never reads the store
 * itself, so that processes don't all read at once.
 */
export function minConfigReadAgeMs(
  statusPath: StatusPath,
  configApplyMs: number,
): number {
  const relayedAgeMs = LEADER_READ_WAIT_MS + nominalStatusAgeMs(statusPath) +
    CONFIG_AGE_MARGIN_MS;
  return Math.min(
    relayedAgeMs,
    maxConfigReadAgeMs(configApplyMs) - MIN_READ_SPREAD_MS,
  );
}

/**
 * Age of the relayed configuration from which every process reads the store
 * itself. A change that came just after the last confirmation is then still in
 * force in time.
 */
export function maxConfigReadAgeMs(configApplyMs: number): number {
  return Math.max(MIN_READ_SPREAD_MS, configApplyMs - CONFIG_READ_ALLOWANCE_MS);
}

/** Allows for delays of the leader's read and of its status. */
const CONFIG_AGE_MARGIN_MS = 150;
/** Time allowed for noticing the age, for the read and for its adoption. */
const CONFIG_READ_ALLOWANCE_MS = 800;
/** Shortest range over which processes spread their reads. */
const MIN_READ_SPREAD_MS = 200;

/**
 * Time after its last report for which a process counts as present, given the
 * report's hold time. Allows for one report without a reply.
 */
export function reporterTimeoutMs(holdMs: number): number {
  return Math.max(holdMs, LEADER_HOLD_MS) + 2 * REPLY_TIMEOUT_MS;
}

/** Greatest age of the leader's status while no message is lost. */
export function nominalStatusAgeMs(statusPath: StatusPath): number {
  return LEADER_HOLD_MS + (statusPath === "direct" ? 0 : RELAY_HOLD_MS);
}

/** Age up to which the leader's status counts as fresh. */
export function maxStatusAgeMs(statusPath: StatusPath): number {
  return nominalStatusAgeMs(statusPath) + REPLY_TIMEOUT_MS;
}

/**
 * Time within which a process's own counts may be missing in the totals of a
 * status of an age: its report travels as long as a status at most.
 */
export function totalsLagMs(
  statusPath: StatusPath,
  statusAgeMs: number,
): number {
  return statusAgeMs + nominalStatusAgeMs(statusPath) + TOTALS_LAG_MARGIN_MS;
}

const TOTALS_LAG_MARGIN_MS = 200;

/**
 * Time within which what any process observes is in the reports to the leader,
 * an observation's own delay included.
 */
export function evidenceSettleMs(hasRelays: boolean): number {
  return LEADER_HOLD_MS + (hasRelays ? RELAY_HOLD_MS : 0) +
    EVIDENCE_MARGIN_MS;
}

const EVIDENCE_MARGIN_MS = 500;

/** Age of the leader's status from which the leader counts as unresponsive. */
export function leaderTimeoutMs(statusPath: StatusPath): number {
  return statusPath === "direct"
    ? LEADER_HOLD_MS + REPLY_TIMEOUT_MS + LEADER_TIMEOUT_MARGIN_MS
    : maxStatusAgeMs(statusPath) + RELAY_PRECEDENCE_MS;
}

/**
 * Age of the leader's status at a relay from which its reporters switch to
 * another relay.
 */
export const MAX_RELAY_STATUS_AGE_MS = 2 *
  (LEADER_HOLD_MS + REPLY_TIMEOUT_MS);

/** Whether the leader's status comes from the leader itself or from a relay. */
export type StatusPath = "direct" | "relayed";

/** Allows for a reply that arrives just after its timeout. */
const LEADER_TIMEOUT_MARGIN_MS = 100;
/** Time in which only relays may replace an unresponsive leader. */
const RELAY_PRECEDENCE_MS = 1_500;
