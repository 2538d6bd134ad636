import type { Fault } from "./fault_day.ts";
import {
  type FleetFigures,
  FleetWorld,
  type FleetWorldOptions,
} from "./fleet_world.ts";

const HOUR_MS = 3_600_000;
/** Time from the empty fleet to the first fault. */
const START_MS = 2 * HOUR_MS;
const DAY_MS = 24 * HOUR_MS;
/** Round while something changes, and otherwise. */
const BUSY_ROUND_MS = 2_000;
const QUIET_ROUND_MS = 10_000;
const BUSY_AFTER_FAULT_MS = 30_000;

interface FaultEdge {
  readonly atMs: number;
  readonly apply: (world: FleetWorld, nowMs: number) => void;
}

/** Runs a fleet from its cold start through a day of faults. */
export function runDay(options: FleetWorldOptions): FleetFigures {
  const world = new FleetWorld(options);
  const edges = listEdges(options.faults);
  const endMs = START_MS + DAY_MS;
  let nowMs = 1;
  let busyUntilMs = 0;
  let next = 0;
  while (nowMs < endMs) {
    while (next < edges.length && edges[next]!.atMs <= nowMs) {
      edges[next]!.apply(world, nowMs);
      next += 1;
      busyUntilMs = nowMs + BUSY_AFTER_FAULT_MS;
    }
    const isChanged = world.round(nowMs);
    const isBusy = isChanged || nowMs < busyUntilMs || world.isLoading();
    const stepMs = isBusy ? BUSY_ROUND_MS : QUIET_ROUND_MS;
    const edgeMs = edges[next]?.atMs ?? endMs;
    const nextMs = Math.min(nowMs + stepMs, Math.max(edgeMs, nowMs + 1), endMs);
    if (nowMs >= START_MS) world.measure(nowMs, nextMs - nowMs);
    nowMs = nextMs;
  }
  return world.figures;
}

function listEdges(faults: readonly Fault[]): FaultEdge[] {
  const edges = faults.flatMap((fault): FaultEdge[] => [
    {
      atMs: START_MS + fault.atMs,
      apply: (world, nowMs) => world.start(fault, nowMs),
    },
    {
      atMs: START_MS + fault.endsAtMs,
      apply: (world, nowMs) => world.end(fault, nowMs),
    },
  ]);
  return edges.toSorted((a, b) => a.atMs - b.atMs);
}
