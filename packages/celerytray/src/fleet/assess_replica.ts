import type { Replica } from "./fold_fleet_record.ts";
import {
  estimateLoadMs,
  type FleetEstimates,
  isLoadStuck,
} from "./fleet_estimates.ts";
import {
  ABSENT_AFTER_MS,
  type FleetObservation,
  isPresent,
  isUsable,
} from "./planner_types.ts";
import { isLoading } from "./replica_health.ts";
import { isConfirmed } from "./stragglers.ts";

/** A replica with members that are absent, unusable or not loaded. */
export interface ReplicaFault {
  readonly replica: Replica;
  /** Ranks whose members must be replaced or waited for. */
  readonly faultyRanks: readonly number[];
  /** Ranks whose members are usable but have not loaded their weights. */
  readonly coldRanks: readonly number[];
  /** Age of the longest absence; undefined if no member is absent. */
  readonly absentForMs: number | undefined;
  /** Whether some members do not recover without a repair. */
  readonly isPermanent: boolean;
  /** Estimated remaining time of the longest load. */
  readonly loadingMs: number;
  /** Serving time lost to slow members so far; 0 if there are other faults. */
  readonly slowLossMs: number;
  readonly reason: string;
}

/** Input of a fault assessment. */
export interface FaultInput {
  readonly observation: FleetObservation;
  readonly estimates: FleetEstimates;
}

/** Fault of a replica; undefined if all members are present and loaded. */
export function findReplicaFault(
  replica: Replica,
  input: FaultInput,
): ReplicaFault | undefined {
  if (isHealthy(replica, input)) return undefined;
  const { observation, estimates } = input;
  const { nowMs } = observation;
  const faultyRanks: number[] = [];
  const coldRanks: number[] = [];
  const kinds = new Set<MemberFault>();
  let absentForMs: number | undefined;
  let slowLossMs = 0;
  let loadingMs = 0;
  for (const [rank, member] of replica.members.entries()) {
    const kind = findMemberFault(member, { ...input, replica, rank });
    if (kind === undefined) continue;
    kinds.add(kind);
    (kind === "cold" ? coldRanks : faultyRanks).push(rank);
    if (kind === "cold") {
      loadingMs = Math.max(loadingMs, estimateRemainingLoadMs(member, input));
    }
    if (kind === "absent") {
      const sinceMs = estimates.absences.get(member)?.sinceMs ?? nowMs;
      absentForMs = Math.max(absentForMs ?? 0, nowMs - sinceMs);
    }
    const slow = estimates.stragglers.get(member);
    if (kind === "slow" && slow !== undefined) {
      slowLossMs += (nowMs - slow.sinceMs) * slow.lostShare;
    }
  }
  if (kinds.size === 0) return undefined;
  const isOnlySlow = kinds.size === 1 && kinds.has("slow");
  return {
    replica,
    faultyRanks,
    coldRanks,
    absentForMs,
    isPermanent: kinds.has("leaving") || kinds.has("stuck"),
    loadingMs,
    slowLossMs: isOnlySlow ? slowLossMs : 0,
    reason: [...faultyRanks, ...coldRanks]
      .map((rank) => replica.members[rank]).join(" ") +
      ` ${[...kinds].join(" ")}`,
  };
}

/** Detects the common case of a healthy replica without allocations. */
function isHealthy(replica: Replica, input: FaultInput): boolean {
  const { observations, nowMs } = input.observation;
  const { members } = replica;
  for (let rank = 0; rank < members.length; rank++) {
    const member = members[rank]!;
    const seen = observations.get(member);
    if (seen === undefined) return false;
    if (nowMs - seen.observedAtMs > ABSENT_AFTER_MS) return false;
    const { status } = seen;
    if (status.leaving === true || status.loadedRank !== rank) return false;
    if (isLoading(status)) return false;
    if (input.estimates.stragglers.has(member)) return false;
  }
  return true;
}

type MemberFault = "absent" | "leaving" | "slow" | "stuck" | "cold";

interface RankedMember extends FaultInput {
  readonly replica: Replica;
  readonly rank: number;
}

function findMemberFault(
  member: string,
  input: RankedMember,
): MemberFault | undefined {
  const { observation, estimates, rank } = input;
  const { nowMs } = observation;
  if (!isPresent(member, observation)) return "absent";
  if (!isUsable(member, observation)) return "leaving";
  if (isConfirmed(estimates.stragglers.get(member))) return "slow";
  if (isLoadStuck(estimates, { member, nowMs })) return "stuck";
  const { status } = observation.observations.get(member)!;
  return status.loadedRank !== rank || isLoading(status) ? "cold" : undefined;
}

function estimateRemainingLoadMs(
  member: string,
  { observation, estimates }: FaultInput,
): number {
  const { nowMs, observations } = observation;
  const status = observations.get(member)?.status;
  const remaining = status === undefined || !isLoading(status)
    ? 1
    : 1 - (status.loadedFraction ?? 0);
  return remaining * estimateLoadMs(estimates, nowMs);
}
