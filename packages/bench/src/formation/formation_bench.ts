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
  readonly ordersLoads: boolean;
  readonly preloads: boolean;
  readonly role: "planner" | "baseline" | "comparison";
}

interface Measured {
  readonly deployment: string;
  readonly policy: Policy;
  readonly seed: number;
  readonly groupDowntimeHours: number;
  readonly strandedAcceleratorHours: number;
  readonly shortfallHours: number;
  readonly slowReplicaHours: number;
  readonly records: number;
}

type Measure = "groupDowntimeHours" | "strandedAcceleratorHours";

const SEEDS = [1, 2, 3];
const HOUR_MS = 3_600_000;
const ACCELERATORS_PER_INSTANCE = 8;
const LOAD_MS = 60_000;
const FULL_RATE_LOADS = 8;
/** Share of the best baseline that the deployment's own measure may be. */
const MAX_SHARE = 0.75;

const POLICIES: readonly Policy[] = [
  {
    name: "planner",
    create: () => new RepairPlanner(),
    ordersLoads: true,
    preloads: true,
    role: "planner",
  },
  {
    name: "always-wait",
    create: () => new AlwaysWaitPlanner(),
    ordersLoads: false,
    preloads: false,
    role: "baseline",
  },
  {
    name: "reform-at-once",
    create: () => new ReformAtOncePlanner(),
    ordersLoads: false,
    preloads: false,
    role: "baseline",
  },
  {
    name: "greedy-first-fit",
    create: () => new GreedyPlanner(),
    ordersLoads: false,
    preloads: false,
    role: "baseline",
  },
  {
    name: "planner, no preloads",
    create: () => new RepairPlanner(),
    ordersLoads: true,
    preloads: false,
    role: "comparison",
  },
];

/** Group downtime and stranded accelerators over a day of faults. */
export const formationBench: Bench = {
  name: "formation",
  description: "group downtime and stranded accelerators over a day of faults",
  run: () => Promise.resolve(runFormation()),
};

function runFormation(): BenchResult {
  const measured = benchDeployments.flatMap((deployment) =>
    POLICIES.flatMap((policy) =>
      SEEDS.map((seed) => measure(deployment, { policy, seed }))
    )
  );
  const totals = benchDeployments.flatMap(({ name }) =>
    POLICIES.map((policy) => addUp(measured, { deployment: name, policy }))
  );
  const cost = [8, 2].map((instancesPerReplica) =>
    measurePlanning({ instancesPerReplica })
  );
  return {
    rows: [
      ...measured.map(describe),
      ...totals.map((total) => ({ ...describe(total), seed: "all" })),
      ...cost.map((each) => ({
        ...Object.fromEntries(
          Object.entries(each).map(([key, value]) => [key, round(value)]),
        ),
      })),
    ],
    targets: [
      ...judge(totals, {
        deployment: "tillicum",
        own: "groupDowntimeHours",
        other: "strandedAcceleratorHours",
      }),
      ...judge(totals, {
        deployment: "bagmati",
        own: "strandedAcceleratorHours",
        other: "groupDowntimeHours",
      }),
    ],
  };
}

function measure(
  { name, config, instances }: BenchDeployment,
  { policy, seed }: { readonly policy: Policy; readonly seed: number },
): Measured {
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
    ordersLoads: policy.ordersLoads,
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

function addUp(
  measured: readonly Measured[],
  of: { readonly deployment: string; readonly policy: Policy },
): Measured {
  const own = measured.filter(({ deployment, policy }) =>
    deployment === of.deployment && policy === of.policy
  );
  const sum = (find: (each: Measured) => number) =>
    own.reduce((total, each) => total + find(each), 0);
  return {
    ...of,
    seed: 0,
    groupDowntimeHours: sum((each) => each.groupDowntimeHours),
    strandedAcceleratorHours: sum((each) => each.strandedAcceleratorHours),
    shortfallHours: sum((each) => each.shortfallHours),
    slowReplicaHours: sum((each) => each.slowReplicaHours),
    records: sum((each) => each.records),
  };
}

interface Judgement {
  readonly deployment: string;
  readonly own: Measure;
  readonly other: Measure;
}

function judge(
  totals: readonly Measured[],
  { deployment, own, other }: Judgement,
): BenchResult["targets"] {
  const here = totals.filter((total) => total.deployment === deployment);
  const planner = here.find(({ policy }) => policy.role === "planner")!;
  const baselines = here.filter(({ policy }) => policy.role === "baseline");
  const best = Math.min(...baselines.map((each) => each[own]));
  const median = findMedian(baselines.map((each) => each[other]));
  return [
    {
      target: `${deployment}: ${own} at most ${MAX_SHARE} of best baseline`,
      measured: `${round(planner[own])} / ${round(best)} = ${
        round(planner[own] / best)
      }`,
      isReached: planner[own] <= best * MAX_SHARE,
    },
    {
      target: `${deployment}: ${other} at most the median baseline`,
      measured: `${round(planner[other])} / ${round(median)}`,
      isReached: planner[other] <= median,
    },
  ];
}

function describe(measured: Measured): BenchResult["rows"][number] {
  return {
    deployment: measured.deployment,
    policy: measured.policy.name,
    seed: measured.seed,
    groupDowntimeHours: round(measured.groupDowntimeHours),
    strandedAcceleratorHours: round(measured.strandedAcceleratorHours),
    shortfallHours: round(measured.shortfallHours),
    slowReplicaHours: round(measured.slowReplicaHours),
    records: measured.records,
  };
}

function findMedian(values: number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)]!;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
