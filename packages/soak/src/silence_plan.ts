import type { FaultAction } from "./fault_action.ts";
import type { PlannedFault, PlanTargets } from "./planned_fault.ts";
import type { PlanRandom } from "./plan_random.ts";

const SERIES_DURATION_MS = 4_000;
const MIN_SILENCE_MS = 500;
const MAX_SILENCE_MS = 1_900;
const MAX_SILENCES = 2;
/** Silences alone come in bursts, so far apart that no call meets two. */
const SILENCE_BURSTS = 3;
const SILENCE_BURST_INTERVAL_MS = 5_000;
/** Leaves the single replica time to form. */
const FIRST_SILENCE_MS = 5_000;
const SILENCE_SPREAD_MS = 200;
const MAX_SILENT_AT_ONCE = 8;
const SLOW_STREAM_PAUSE_MS = 100;

/** One or two silences among other faults. */
export function drawSilences(
  random: PlanRandom,
  { instances }: PlanTargets,
): readonly PlannedFault[] {
  const count = random.integer(1, MAX_SILENCES);
  return Array.from({ length: count }, () => ({
    atMs: random.integer(0, SERIES_DURATION_MS),
    durationMs: random.integer(MIN_SILENCE_MS, MAX_SILENCE_MS),
    action: { kind: "silent-instance", instance: random.pick(instances) },
  }));
}

/**
 * Without other faults, which would excuse answers that are broken off; half the
 * plans leave a single replica, as another one would go on with its streams.
 */
export function drawSilencesAlone(
  random: PlanRandom,
  { instances, replicas }: PlanTargets,
): readonly PlannedFault[] {
  const hasOneReplica = random.pick([false, true]);
  const replica = random.pick(replicas);
  const durationMs = FIRST_SILENCE_MS +
    SILENCE_BURSTS * SILENCE_BURST_INTERVAL_MS;
  const states: readonly FaultAction[] = [
    { kind: "slow-streams", pauseMs: SLOW_STREAM_PAUSE_MS },
    ...(hasOneReplica
      ? [{ kind: "one-replica" as const, instances: replica }]
      : []),
  ];
  const bursts = Array.from({ length: SILENCE_BURSTS }, (_, burst) => {
    const count = random.integer(1, MAX_SILENT_AT_ONCE);
    const silent = new Set(
      Array.from({ length: count }, () => random.pick(instances)),
    );
    if (hasOneReplica) silent.add(random.pick(replica));
    const firstMs = FIRST_SILENCE_MS + burst * SILENCE_BURST_INTERVAL_MS;
    return [...silent].map((instance): PlannedFault => ({
      atMs: firstMs + random.integer(0, SILENCE_SPREAD_MS),
      durationMs: random.integer(MIN_SILENCE_MS, MAX_SILENCE_MS),
      action: { kind: "silent-instance", instance },
    }));
  });
  return [
    ...states.map((action) => ({ atMs: 0, durationMs, action })),
    ...bursts.flat().sort((left, right) => left.atMs - right.atMs),
  ];
}
