import type { Fault } from "./fault_day.ts";
import {
  type FleetFigures,
  FleetSimulation,
  type FleetSimulationOptions,
} from "./fleet_simulation.ts";

const HOUR_MS = 3_600_000;
/** Time from the empty fleet to the first fault. */
const FAULTS_START_MS = 2 * HOUR_MS;
const DAY_MS = 24 * HOUR_MS;
/** Interval of rounds while anything changes. */
const BUSY_INTERVAL_MS = 2_000;
/** Interval of rounds while nothing changes. */
const QUIET_INTERVAL_MS = 10_000;
/** Time after the start or end of a fault that counts as busy. */
const FAULT_BUSY_MS = 30_000;

/** The start or end of a fault. */
interface FaultTransition {
  readonly atMs: number;
  readonly apply: (fleet: FleetSimulation, nowMs: number) => void;
}

/** Simulates a fleet from its cold start through a day of faults. */
export function runDay(options: FleetSimulationOptions): FleetFigures {
  const fleet = new FleetSimulation(options);
  const transitions = listTransitions(options.faults);
  const endMs = FAULTS_START_MS + DAY_MS;
  let nowMs = 1;
  let busyUntilMs = 0;
  let nextIndex = 0;
  while (nowMs < endMs) {
    while (
      nextIndex < transitions.length && transitions[nextIndex]!.atMs <= nowMs
    ) {
      transitions[nextIndex]!.apply(fleet, nowMs);
      nextIndex += 1;
      busyUntilMs = nowMs + FAULT_BUSY_MS;
    }
    const isChanged = fleet.runRound(nowMs);
    const isBusy = isChanged || nowMs < busyUntilMs || fleet.isLoading();
    const stepMs = isBusy ? BUSY_INTERVAL_MS : QUIET_INTERVAL_MS;
    const transitionMs = transitions[nextIndex]?.atMs ?? endMs;
    const nextMs = Math.min(
      nowMs + stepMs,
      Math.max(transitionMs, nowMs + 1),
      endMs,
    );
    if (nowMs >= FAULTS_START_MS) fleet.addToFigures(nowMs, nextMs - nowMs);
    nowMs = nextMs;
  }
  return fleet.figures;
}

function listTransitions(faults: readonly Fault[]): FaultTransition[] {
  const transitions = faults.flatMap((fault): FaultTransition[] => [
    {
      atMs: FAULTS_START_MS + fault.atMs,
      apply: (fleet, nowMs) => fleet.startFault(fault, nowMs),
    },
    {
      atMs: FAULTS_START_MS + fault.endsAtMs,
      apply: (fleet, nowMs) => fleet.endFault(fault, nowMs),
    },
  ]);
  return transitions.toSorted((a, b) => a.atMs - b.atMs);
}
