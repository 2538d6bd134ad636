import type { Replica } from "./fold_fleet_record.ts";
import { type FleetEstimates, isLoadStuck } from "./fleet_estimates.ts";
import { type FleetObservation, isPresent, isUsable } from "./planner_types.ts";
import { isConfirmed } from "./stragglers.ts";

/** What is wrong with a replica. */
export interface Damage {
  readonly replica: Replica;
  /** Ranks whose members are to be replaced, or waited for. */
  readonly faultyRanks: readonly number[];
  /** Age of the oldest absence; undefined if waiting can mend nothing. */
  readonly absentForMs: number | undefined;
  /** Serving time that slow members have cost so far; 0 for other damage. */
  readonly slowLossMs: number;
  readonly reason: string;
}

/** What a judgement rests on. */
export interface DamageInput {
  readonly observation: FleetObservation;
  readonly estimates: FleetEstimates;
}

/** A replica's damage; undefined if all members are present and fast. */
export function findDamage(
  replica: Replica,
  input: DamageInput,
): Damage | undefined {
  const { observation, estimates } = input;
  const { nowMs } = observation;
  const faultyRanks: number[] = [];
  const kinds = new Set<string>();
  let absentForMs = 0;
  let slowLossMs = 0;
  for (const [rank, member] of replica.members.entries()) {
    const kind = findFault(member, input);
    if (kind === undefined) continue;
    kinds.add(kind);
    faultyRanks.push(rank);
    const absence = estimates.absences.get(member);
    absentForMs = Math.max(absentForMs, nowMs - (absence?.sinceMs ?? nowMs));
    const slow = estimates.stragglers.get(member);
    if (kind === "slow" && slow !== undefined) {
      slowLossMs += (nowMs - slow.sinceMs) * slow.lostShare;
    }
  }
  if (faultyRanks.length === 0) return undefined;
  const isOnly = (kind: string) => kinds.size === 1 && kinds.has(kind);
  return {
    replica,
    faultyRanks,
    absentForMs: isOnly("absent") ? absentForMs : undefined,
    slowLossMs: isOnly("slow") ? slowLossMs : 0,
    reason: faultyRanks.map((rank) => replica.members[rank]).join(" ") +
      ` ${[...kinds].join(" ")}`,
  };
}

type Fault = "absent" | "leaving" | "slow" | "stuck";

function findFault(member: string, input: DamageInput): Fault | undefined {
  const { observation, estimates } = input;
  const { nowMs } = observation;
  if (!isPresent(member, observation)) return "absent";
  if (!isUsable(member, observation)) return "leaving";
  if (isConfirmed(estimates.stragglers.get(member))) return "slow";
  return isLoadStuck(estimates, { member, nowMs }) ? "stuck" : undefined;
}
