import {
  AlwaysWaitPlanner,
  GreedyPlanner,
  ReformAtOncePlanner,
  RepairPlanner,
  type ReplicaPlanner,
} from "celerytray";
import type { Bench, BenchResult } from "../bench.ts";
import { type BenchDeployment, benchDeployments } from "./deployments.ts";
import { drawFaultDay } from "./fault_day.ts";
import { measurePlanning } from "./planning_cost.ts";
import { runDay } from "./run_day.ts";

interface Policy {
  readonly name: string;
  readonly create: () => ReplicaPlanner;
  readonly selectsLoads: boolean;
  readonly preloads: boolean;
  readonly role: "planner" | "baseline" | "comparison";
}

interface PolicyResult {
  readonly deployment: string;
  readonly policy: Policy;
  readonly seed: number;
  readonly groupDowntimeHours: number;
  readonly strandedAcceleratorHours: number;
  readonly shortfallHours: number;
  readonly slowReplicaHours: number;
  readonly records: number;
}

type MeasureName = "groupDowntimeHours" | "strandedAcceleratorHours";

const SEEDS = [1, 2, 3];
const HOUR_MS = 3_600_000;
const ACCELERATORS_PER_INSTANCE = 8;
const LOAD_MS = 60_000;
const FULL_RATE_LOADS = 8;
/** Maximum of the deployment's own measure as a share of the best baseline. */
const MAX_BASELINE_SHARE = 0.75;

const POLICIES: readonly Policy[] = [
  {
    name: "planner",
    create: () => new RepairPlanner(),
    selectsLoads: true,
    preloads: true,
    role: "planner",
  },
  {
    name: "always-wait",
    create: () => new AlwaysWaitPlanner(),
    selectsLoads: false,
    preloads: false,
    role: "baseline",
  },
  {
    name: "reform-at-once",
    create: () => new ReformAtOncePlanner(),
    selectsLoads: false,
    preloads: false,
    role: "baseline",
  },
  {
    name: "greedy-first-fit",
    create: () => new GreedyPlanner(),
    selectsLoads: false,
    preloads: false,
    role: "baseline",
  },
  {
    name: "planner, no preloads",
    create: () => new RepairPlanner(),
    selectsLoads: true,
    preloads: false,
    role: "comparison",
  },
];

/** Measures group downtime and stranded accelerators over a day of faults. */
export const formationBench: Bench = {
  name: "formation",
  description: "group downtime and stranded accelerators over a day of faults",
  run: () => Promise.resolve(runFormation()),
};

function runFormation(): BenchResult {
  const results = benchDeployments.flatMap((deployment) =>
    POLICIES.flatMap((policy) =>
      SEEDS.map((seed) => measure(deployment, { policy, seed }))
    )
  );
  const totals = benchDeployments.flatMap(({ name }) =>
    POLICIES.map((policy) => sumResults(results, { deployment: name, policy }))
  );
  const planningCosts = [8, 2].map((instancesPerReplica) =>
    measurePlanning({ instancesPerReplica })
  );
  return {
    rows: [
      ...results.map(createRow),
      ...totals.map((total) => ({ ...createRow(total), seed: "all" })),
      ...planningCosts.map((each) => ({
        ...Object.fromEntries(
          Object.entries(each).map(([key, value]) => [key, round(value)]),
        ),
      })),
    ],
    targets: [
      ...createTargets(totals, {
        deployment: "tillicum",
        ownMeasure: "groupDowntimeHours",
        otherMeasure: "strandedAcceleratorHours",
      }),
      ...createTargets(totals, {
        deployment: "bagmati",
        ownMeasure: "strandedAcceleratorHours",
        otherMeasure: "groupDowntimeHours",
      }),
    ],
  };
}

function measure(
  { name, config, instances }: BenchDeployment,
  { policy, seed }: { readonly policy: Policy; readonly seed: number },
): PolicyResult {
  const faults = drawFaultDay({
    seed,
    engineIds: instances.map(({ instanceId }) => instanceId),
    fabricDomains: [
      ...new Set(instances.map(({ fabricDomain }) => fabricDomain!)),
    ],
  });
  const figures = runDay({
    config,
    instances,
    planner: policy.create(),
    selectsLoads: policy.selectsLoads,
    preloads: policy.preloads,
    faults,
    loadMs: LOAD_MS,
    fullRateLoads: FULL_RATE_LOADS,
  });
  return {
    deployment: name,
    policy,
    seed,
    groupDowntimeHours: figures.groupDowntimeMs / HOUR_MS,
    strandedAcceleratorHours: figures.strandedInstanceMs / HOUR_MS *
      ACCELERATORS_PER_INSTANCE,
    shortfallHours: figures.shortfallMs / HOUR_MS,
    slowReplicaHours: figures.slowReplicaMs / HOUR_MS,
    records: figures.recordCount,
  };
}

function sumResults(
  results: readonly PolicyResult[],
  selection: { readonly deployment: string; readonly policy: Policy },
): PolicyResult {
  const selected = results.filter(({ deployment, policy }) =>
    deployment === selection.deployment && policy === selection.policy
  );
  const sum = (find: (each: PolicyResult) => number) =>
    selected.reduce((total, each) => total + find(each), 0);
  return {
    ...selection,
    seed: 0,
    groupDowntimeHours: sum((each) => each.groupDowntimeHours),
    strandedAcceleratorHours: sum((each) => each.strandedAcceleratorHours),
    shortfallHours: sum((each) => each.shortfallHours),
    slowReplicaHours: sum((each) => each.slowReplicaHours),
    records: sum((each) => each.records),
  };
}

interface TargetMeasures {
  readonly deployment: string;
  readonly ownMeasure: MeasureName;
  readonly otherMeasure: MeasureName;
}

function createTargets(
  totals: readonly PolicyResult[],
  { deployment, ownMeasure, otherMeasure }: TargetMeasures,
): BenchResult["targets"] {
  const deploymentTotals = totals.filter((total) =>
    total.deployment === deployment
  );
  const planner = deploymentTotals.find(({ policy }) =>
    policy.role === "planner"
  )!;
  const baselines = deploymentTotals.filter(({ policy }) =>
    policy.role === "baseline"
  );
  const bestBaseline = Math.min(...baselines.map((each) => each[ownMeasure]));
  const medianBaseline = findMedian(
    baselines.map((each) => each[otherMeasure]),
  );
  return [
    {
      target:
        `${deployment}: ${ownMeasure} at most ${MAX_BASELINE_SHARE} of best baseline`,
      measured: `${round(planner[ownMeasure])} / ${round(bestBaseline)} = ${
        round(planner[ownMeasure] / bestBaseline)
      }`,
      isReached: planner[ownMeasure] <= bestBaseline * MAX_BASELINE_SHARE,
    },
    {
      target: `${deployment}: ${otherMeasure} at most the median baseline`,
      measured: `${round(planner[otherMeasure])} / ${round(medianBaseline)}`,
      isReached: planner[otherMeasure] <= medianBaseline,
    },
  ];
}

function createRow(result: PolicyResult): BenchResult["rows"][number] {
  return {
    deployment: result.deployment,
    policy: result.policy.name,
    seed: result.seed,
    groupDowntimeHours: round(result.groupDowntimeHours),
    strandedAcceleratorHours: round(result.strandedAcceleratorHours),
    shortfallHours: round(result.shortfallHours),
    slowReplicaHours: round(result.slowReplicaHours),
    records: result.records,
  };
}

function findMedian(values: number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)]!;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
