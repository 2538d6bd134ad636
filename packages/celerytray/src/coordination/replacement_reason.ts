import { leaderTimeoutMs, type StatusPath } from "./intervals.ts";

/** What a follower knows of its leader. */
export interface LeaderObservation {
  /** Whether the leader has just responded that it doesn't lead. */
  readonly deniesLeadership: boolean;
  /** Whether the leader's address has refused connections for a while. */
  readonly isDown: boolean;
  /** Whether this process reports to the leader or to a relay. */
  readonly statusPath: StatusPath;
  /** Age of the leader's newest status. */
  readonly statusAgeMs: number;
  /** Time since the store last responded to the leader, as far as is known. */
  readonly leaderStoreAgeMs: number;
  /** Time since the store last responded to this process. */
  readonly ownStoreAgeMs: number;
}

/** Why a leader is to be replaced. */
export type ReplacementReason =
  | "it doesn't lead"
  | "it is down"
  | "the store doesn't answer it"
  | "it is silent";

/**
 * Age of the store's last response to the leader at which the leader is
 * replaced.
 */
const MAX_LEADER_STORE_AGE_MS = 2_800;
/**
 * A process replaces such a leader only if the store responded to it more
 * recently than this.
 */
const MAX_OWN_STORE_AGE_MS = 2_500;

/** Returns why the leader is to be replaced; undefined while it is not. */
export function findReplacementReason(
  observation: LeaderObservation,
): ReplacementReason | undefined {
  const { deniesLeadership, isDown, statusPath, statusAgeMs } = observation;
  if (deniesLeadership) return "it doesn't lead";
  if (isDown) return "it is down";
  if (statusAgeMs > leaderTimeoutMs(statusPath)) return "it is silent";
  const hasLostStore = observation.leaderStoreAgeMs > MAX_LEADER_STORE_AGE_MS &&
    observation.ownStoreAgeMs < MAX_OWN_STORE_AGE_MS;
  return hasLostStore ? "the store doesn't answer it" : undefined;
}
