import { HashMap } from "effect";
import type { Replica } from "./fold_fleet_record.ts";
import { type FleetObservation, isPresent } from "./planner_types.ts";

/** A member that is slower than the other members of its replica. */
export interface Straggler {
  readonly sinceMs: number;
  readonly seenAtMs: number;
  /** Fraction of the replica's throughput that it costs. */
  readonly lostShare: number;
}

/** Ratio of step time to the median above which a member is slow. */
const SLOW_FACTOR = 2;
/** Time for which a member must be slow to count as a straggler. */
const CONFIRM_MS = 20_000;
/** Time for which a former straggler is not used. */
const HOLD_MS = 1_800_000;

/** Updates the stragglers from one round. */
export function updateStragglers(
  before: ReadonlyMap<string, Straggler>,
  observation: FleetObservation,
): ReadonlyMap<string, Straggler> {
  const { nowMs, fleet } = observation;
  const stragglers = new Map<string, Straggler>();
  for (const [member, straggler] of before) {
    if (nowMs - straggler.seenAtMs < HOLD_MS) stragglers.set(member, straggler);
  }
  for (const replica of HashMap.values(fleet.replicas)) {
    for (const [member, lostShare] of measureLostShares(replica, observation)) {
      if (lostShare === 0) {
        stragglers.delete(member);
        continue;
      }
      const sinceMs = stragglers.get(member)?.sinceMs ?? nowMs;
      stragglers.set(member, { sinceMs, seenAtMs: nowMs, lostShare });
    }
  }
  return stragglers;
}

/** Whether a member was slow for long enough to be replaced. */
export function isConfirmed(straggler: Straggler | undefined): boolean {
  return straggler !== undefined &&
    straggler.seenAtMs - straggler.sinceMs >= CONFIRM_MS;
}

/** Lost share of each member that reports its step time. */
function measureLostShares(
  replica: Replica,
  observation: FleetObservation,
): Map<string, number> {
  const times = new Map<string, number>();
  for (const member of replica.members) {
    if (!isPresent(member, observation)) continue;
    const timeMs = observation.observations.get(member)!.status.stepTimeMs;
    if (timeMs !== undefined) times.set(member, timeMs);
  }
  const shares = new Map<string, number>();
  if (times.size < 2) return shares;
  const medianMs = lowerMedian([...times.values()]);
  for (const [member, timeMs] of times) {
    const isSlow = timeMs > medianMs * SLOW_FACTOR;
    shares.set(member, isSlow ? 1 - medianMs / timeMs : 0);
  }
  return shares;
}

/** Lower median: of two members, the faster one is the reference. */
function lowerMedian(values: number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)]!;
}
