import { linkFaults } from "@celerytray/fakes";
import { drawCut, drawCutAlone } from "./cut_plan.ts";
import { type FaultAction, storeFaults } from "./fault_action.ts";
import { drawIncident } from "./incident_plan.ts";
import type { PlannedFault, PlanTargets } from "./planned_fault.ts";
import { PlanRandom } from "./plan_random.ts";
import { drawSilences, drawSilencesAlone } from "./silence_plan.ts";

/** Series of faults, each followed by a time without faults. */
export interface SoakPlan {
  readonly seed: number;
  readonly series: readonly (readonly PlannedFault[])[];
}

const SERIES_COUNT = 2;
const MIN_FAULTS = 3;
const MAX_FAULTS = 6;
const SERIES_DURATION_MS = 4_000;
const MIN_FAULT_DURATION_MS = 400;
const MAX_FAULT_DURATION_MS = 3_500;
/** Longer than the bounds after which no request may arrive. */
const FIXED_DURATIONS_MS: Partial<Record<FaultAction["kind"], number>> = {
  evacuate: 8_000,
  leave: 6_000,
  limit: 10_000,
  poison: 10_000,
  "deadly-request": 10_000,
  "joined-answers": 8_000,
};
const LIMITS_PER_SECOND = [0.5, 1, 2, 5];
/** The faults that were added later have a generator of their own. */
const LATER_FAULTS_SEED = 1_000_000;
const DEADLY_REQUESTS_SEED = 2_000_000;
const OPERATOR_FAULTS_SEED = 3_000_000;
const LATE_RETURNS_SEED = 4_000_000;
const JOINED_ANSWERS_SEED = 5_000_000;
const MIN_COPY_AGE_MS = 500;
const MAX_COPY_AGE_MS = 3_000;
const WORK_TIMES_MS = [500, 1_500, 2_200];
const MAX_LEAVE_BEFORE_MS = 750;
const MAX_REWRITE_AFTER_MS = 1_600;
const MIN_LATE_MS = 500;
const MAX_LATE_MS = 4_500;
const IDLE_ROUTES = [0, 350];
const JOINED_ONE_IN = [1, 2, 4];
const JOINED_PIECE_MS = [0, 0, 20, 100];
const SILENCES_SEED = 6_000_000;
const CUTS_SEED = 7_000_000;
const INCIDENTS_SEED = 8_000_000;
/** Without it, neighbouring seeds have much the same first draws. */
const SEED_SPREAD = 0x9e3779b1;

/** Creates a random plan; the same seed gives the same plan. */
export function createPlan(seed: number, targets: PlanTargets): SoakPlan {
  const random = new PlanRandom(seed);
  const later = new PlanRandom(LATER_FAULTS_SEED + seed);
  const deadly = new PlanRandom(DEADLY_REQUESTS_SEED + seed);
  const operator = new PlanRandom(OPERATOR_FAULTS_SEED + seed);
  const returns = new PlanRandom(LATE_RETURNS_SEED + seed);
  const joined = new PlanRandom(JOINED_ANSWERS_SEED + seed);
  const silent = new PlanRandom(SILENCES_SEED + seed);
  const cuts = new PlanRandom(CUTS_SEED + seed);
  const incidents = new PlanRandom(
    Math.imul(INCIDENTS_SEED + seed, SEED_SPREAD),
  );
  const keys = [...targets.keys];
  const series = Array.from({ length: SERIES_COUNT }, (_, index) => {
    const count = random.integer(MIN_FAULTS, MAX_FAULTS);
    const faults = Array.from(
      { length: count },
      () => drawFault(random, targets, keys),
    );
    return [
      ...faults,
      drawLaterFault(later, targets, index),
      drawDeadlyRequest(deadly, index),
      ...drawOperatorFaults(operator, targets),
      drawLateReturn(returns, targets),
      drawJoinedAnswers(joined, targets),
      ...drawSilences(silent, targets),
      ...drawCut(cuts, targets),
    ].sort((left, right) => left.atMs - right.atMs);
  });
  return {
    seed,
    series: [
      ...series,
      drawSilencesAlone(silent, targets),
      drawIncident(incidents, targets),
      [drawCutAlone(cuts, targets)],
    ],
  };
}

/** Text with one line for each fault. */
export function describePlan({ seed, series }: SoakPlan): string {
  const lines = series.flatMap((faults, index) =>
    faults.map(({ atMs, durationMs, action }) =>
      `  series ${index} at ${atMs} ms for ${durationMs} ms: ${
        Object.values(action).join(" ")
      }`
    )
  );
  return [`plan of seed ${seed}`, ...lines].join("\n");
}

function drawFault(
  random: PlanRandom,
  targets: PlanTargets,
  keys: string[],
): PlannedFault {
  const atMs = random.integer(0, SERIES_DURATION_MS);
  const durationMs = random.integer(
    MIN_FAULT_DURATION_MS,
    MAX_FAULT_DURATION_MS,
  );
  const action = drawAction(random, targets, keys);
  return {
    atMs,
    durationMs: FIXED_DURATIONS_MS[action.kind] ?? durationMs,
    action,
  };
}

function drawLaterFault(
  random: PlanRandom,
  { instances }: PlanTargets,
  series: number,
): PlannedFault {
  const kind = random.pick(laterFaultKinds);
  const action: FaultAction = kind === "limit"
    ? {
      kind,
      instance: random.pick(instances),
      perSecond: random.pick(LIMITS_PER_SECOND),
    }
    : { kind, part: `deadly-${series}` };
  return {
    atMs: random.integer(0, SERIES_DURATION_MS),
    durationMs: FIXED_DURATIONS_MS[kind]!,
    action,
  };
}

function drawDeadlyRequest(random: PlanRandom, series: number): PlannedFault {
  const kind = "deadly-request";
  return {
    atMs: random.integer(0, SERIES_DURATION_MS),
    durationMs: FIXED_DURATIONS_MS[kind]!,
    action: { kind, body: `deadly-request-${series}` },
  };
}

/** Returns of the store, signals, changes of routes, and slow work. */
function drawOperatorFaults(
  random: PlanRandom,
  { processes }: PlanTargets,
): readonly PlannedFault[] {
  const ageMs = random.integer(MIN_COPY_AGE_MS, MAX_COPY_AGE_MS);
  const actions: readonly FaultAction[] = [
    { kind: "return", ageMs },
    { kind: "reload", process: random.pick(processes) },
    { kind: "reload-start", process: random.pick(processes) },
    { kind: "slow-work", workMs: random.pick(WORK_TIMES_MS) },
    { kind: "route" },
    { kind: "route" },
    { kind: "route" },
  ];
  return actions.map((action) => ({
    atMs: random.integer(0, SERIES_DURATION_MS),
    durationMs: random.integer(
      MIN_FAULT_DURATION_MS,
      MAX_FAULT_DURATION_MS,
    ),
    action,
  }));
}

function drawLateReturn(
  random: PlanRandom,
  { instances, processes }: PlanTargets,
): PlannedFault {
  return {
    atMs: random.integer(0, SERIES_DURATION_MS),
    durationMs: random.integer(
      MIN_FAULT_DURATION_MS,
      MAX_FAULT_DURATION_MS,
    ),
    action: {
      kind: "late-return",
      ageMs: random.integer(MAX_LEAVE_BEFORE_MS, MAX_COPY_AGE_MS),
      instance: random.pick(instances),
      leaveBeforeMs: random.integer(0, MAX_LEAVE_BEFORE_MS),
      isUnlisted: random.pick([false, false, true]),
      rewriteAfterMs: random.integer(0, MAX_REWRITE_AFTER_MS),
      lateProcess: random.pick(processes),
      lateMs: random.integer(MIN_LATE_MS, MAX_LATE_MS),
      deletesRecords: random.pick([false, true]),
      idleRoutes: random.pick(IDLE_ROUTES),
    },
  };
}

function drawJoinedAnswers(
  random: PlanRandom,
  { instances }: PlanTargets,
): PlannedFault {
  const kind = "joined-answers";
  return {
    atMs: random.integer(0, SERIES_DURATION_MS),
    durationMs: FIXED_DURATIONS_MS[kind]!,
    action: {
      kind,
      instances: instances.filter(() => random.pick([false, true])),
      oneIn: random.pick(JOINED_ONE_IN),
      pieceMs: random.pick(JOINED_PIECE_MS),
    },
  };
}

function drawAction(
  random: PlanRandom,
  targets: PlanTargets,
  keys: string[],
): FaultAction {
  const { processes, instances, zones } = targets;
  const kind = random.pick(faultKinds);
  switch (kind) {
    case "terminate":
    case "kill":
    case "pause":
      return { kind, process: random.pick(processes) };
    case "link":
      return drawLinkFault(random, targets);
    case "store":
      return { kind, fault: random.pick(storeFaults) };
    case "withdraw": {
      const key = keys.shift();
      return key === undefined ? { kind: "config" } : { kind, key };
    }
    case "die":
    case "leave":
    case "cool":
      return { kind, instance: random.pick(instances) };
    case "evacuate":
      return { kind, zone: random.pick(zones) };
    case "config":
    case "burst":
      return { kind };
  }
}

function drawLinkFault(random: PlanRandom, targets: PlanTargets): FaultAction {
  const endpoint = random.pick(["callers", "store", "instance"] as const);
  const names = endpoint === "instance" ? targets.instances : targets.processes;
  const fault = random.pick(linkFaults);
  return { kind: "link", endpoint, name: random.pick(names), fault };
}

/** Kinds that are listed more than once are drawn more often. */
export const faultKinds = [
  "terminate",
  "terminate",
  "kill",
  "pause",
  "link",
  "link",
  "link",
  "store",
  "withdraw",
  "withdraw",
  "config",
  "die",
  "leave",
  "cool",
  "evacuate",
  "burst",
] as const;

/** Kinds of which each series has one. */
export const laterFaultKinds = ["limit", "poison"] as const;
/** Kinds that the first series have besides, cuts only half of them. */
export const constantFaultKinds = [
  "deadly-request",
  "return",
  "reload",
  "reload-start",
  "slow-work",
  "route",
  "late-return",
  "joined-answers",
  "silent-instance",
  "cut-links",
] as const;
/** Kinds of the third series, in which silences come alone. */
export const silenceKinds = [
  "slow-streams",
  "one-replica",
  "silent-instance",
] as const;
