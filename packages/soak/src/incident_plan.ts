import type { FaultAction } from "./fault_action.ts";
import type { PlannedFault, PlanTargets } from "./planned_fault.ts";
import type { PlanRandom } from "./plan_random.ts";

const DURATION_MS = 14_000;
const EVENT_PAUSES_MS = [50, 100];
const MAX_SLOTS = 2;
const MAX_CONNECTIONS = 100;
/** New connections are reset while one request waits, or two. */
const CONNECTIONS_PER_WAITING = [100, 50];
const MAX_WAITING = 3;
/** Leaves the replicas time to form if most of them have just ended. */
const FIRST_MS = 4_000;
const CONFIG_INTERVAL_MS = 2_500;
const MIN_SILENCE_MS = 1_100;
const MAX_SILENCE_MS = 1_900;
/** Far enough apart that no call meets two. */
const SILENCE_INTERVAL_MS = 5_000;
const SILENCES = 2;
const MAX_SILENT_AT_ONCE = 3;
/** Until the streams of an instance that leaves have ended. */
const LEAVE_MS = 6_000;

/**
 * Full heads, which reset new connections while their queue is long, and silent
 * sound instances, during planned work. Streams must not be cut.
 */
export function drawIncident(
  random: PlanRandom,
  targets: PlanTargets,
): readonly PlannedFault[] {
  const replica = random.pick([undefined, random.pick(targets.replicas)]);
  const faults = [
    ...drawStates(random, replica),
    ...drawPlannedWork(random, targets),
    ...drawSilences(random, replica ?? targets.instances),
  ];
  return faults.sort((left, right) => left.atMs - right.atMs);
}

function drawStates(
  random: PlanRandom,
  replica: readonly string[] | undefined,
): readonly PlannedFault[] {
  const fullHeads: FaultAction = {
    kind: "full-heads",
    slots: random.integer(1, MAX_SLOTS),
    maxWaiting: MAX_WAITING,
    maxConnections: MAX_CONNECTIONS,
    connectionsPerWaiting: random.pick(CONNECTIONS_PER_WAITING),
  };
  const states: readonly FaultAction[] = [
    { kind: "slow-streams", pauseMs: random.pick(EVENT_PAUSES_MS) },
    fullHeads,
    ...(replica === undefined
      ? []
      : [{ kind: "one-replica" as const, instances: replica }]),
  ];
  return states.map((action) => ({
    atMs: 0,
    durationMs: DURATION_MS,
    action,
  }));
}

/** Configurations, routes, SIGHUP, a stop, and an instance that leaves. */
function drawPlannedWork(
  random: PlanRandom,
  { processes, instances }: PlanTargets,
): readonly PlannedFault[] {
  const works: readonly FaultAction[] = [
    { kind: "config" },
    { kind: "route" },
    { kind: "config" },
    { kind: "reload", process: random.pick(processes) },
  ];
  const stop: FaultAction = {
    kind: "terminate",
    process: random.pick(processes),
  };
  const leave: FaultAction = {
    kind: "leave",
    instance: random.pick(instances),
  };
  const others = random.pick([[], [stop], [leave], [stop, leave]]);
  return [
    ...works.map((action, index) => ({
      atMs: FIRST_MS + index * CONFIG_INTERVAL_MS,
      durationMs: 0,
      action,
    })),
    ...others.map((action) => ({
      atMs: FIRST_MS + random.integer(0, CONFIG_INTERVAL_MS),
      durationMs: LEAVE_MS,
      action,
    })),
  ];
}

function drawSilences(
  random: PlanRandom,
  instances: readonly string[],
): readonly PlannedFault[] {
  return Array.from({ length: SILENCES }, (_, index) => {
    const count = random.integer(1, MAX_SILENT_AT_ONCE);
    const silent = new Set(
      Array.from({ length: count }, () => random.pick(instances)),
    );
    return [...silent].map((instance): PlannedFault => ({
      atMs: FIRST_MS + index * SILENCE_INTERVAL_MS,
      durationMs: random.integer(MIN_SILENCE_MS, MAX_SILENCE_MS),
      action: { kind: "silent-instance", instance },
    }));
  }).flat();
}
