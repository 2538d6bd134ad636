import type { Replica } from "./fold_fleet_record.ts";
import {
  expectLoadMs,
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

/** What is wrong with a replica. */
export interface Damage {
  readonly replica: Replica;
  /** Ranks whose members are to be replaced, or waited for. */
  readonly faultyRanks: readonly number[];
  /** Ranks whose members are present but have not loaded their weights. */
  readonly coldRanks: readonly number[];
  /** Age of the oldest absence; undefined without any. */
  readonly absentForMs: number | undefined;
  /** Whether some members will not mend by themselves. */
  readonly isLasting: boolean;
  /** Time that the longest load takes from now on. */
  readonly loadingMs: number;
  /** Serving time that slow members have cost so far; 0 for other damage. */
  readonly slowLossMs: number;
  readonly reason: string;
}

/** What a judgement backoffs on. */
export interface DamageInput {
  readonly observation: FleetObservation;
  readonly estimates: FleetEstimates;
}

/** A replica's damage; undefined if all members are present and loaded. */
export function findDamage(
  replica: Replica,
  input: DamageInput,
): Damage | undefined {
  if (isSound(replica, input)) return undefined;
  const { observation, estimates } = input;
  const { nowMs } = observation;
  const faultyRanks: number[] = [];
  const coldRanks: number[] = [];
  const kinds = new Set<Fault>();
  let absentForMs: number | undefined;
  let slowLossMs = 0;
  let loadingMs = 0;
  for (const [rank, member] of replica.members.entries()) {
    const kind = findFault(member, { ...input, replica, rank });
    if (kind === undefined) continue;
    kinds.add(kind);
    (kind === "cold" ? coldRanks : faultyRanks).push(rank);
    if (kind === "cold") {
      loadingMs = Math.max(loadingMs, expectRemainingMs(member, input));
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
    isLasting: kinds.has("leaving") || kinds.has("stuck"),
    loadingMs,
    slowLossMs: isOnlySlow ? slowLossMs : 0,
    reason: [...faultyRanks, ...coldRanks]
      .map((rank) => replica.members[rank]).join(" ") +
      ` ${[...kinds].join(" ")}`,
  };
}

/** The common case, decided without anything allocated. */
function isSound(replica: Replica, input: DamageInput): boolean {
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

type Fault = "absent" | "leaving" | "slow" | "stuck" | "cold";

interface RankedMember extends DamageInput {
  readonly replica: Replica;
  readonly rank: number;
}

function findFault(member: string, input: RankedMember): Fault | undefined {
  const { observation, estimates, rank } = input;
  const { nowMs } = observation;
  if (!isPresent(member, observation)) return "absent";
  if (!isUsable(member, observation)) return "leaving";
  if (isConfirmed(estimates.stragglers.get(member))) return "slow";
  if (isLoadStuck(estimates, { member, nowMs })) return "stuck";
  const { status } = observation.observations.get(member)!;
  return status.loadedRank !== rank || isLoading(status) ? "cold" : undefined;
}

function expectRemainingMs(
  member: string,
  { observation, estimates }: DamageInput,
): number {
  const { nowMs, observations } = observation;
  const status = observations.get(member)?.status;
  const remaining = status === undefined || !isLoading(status)
    ? 1
    : 1 - (status.loadedFraction ?? 0);
  return remaining * expectLoadMs(estimates, nowMs);
}
