import type { Bench, BenchResult } from "../bench.ts";
import {
  type AdmissionPolicy,
  createTimeoutPolicy,
  FifoPolicy,
  SlotPolicy,
  TokenBucketPolicy,
} from "./admission_policies.ts";
import {
  type AdmissionRun,
  type LoadOrganisation,
  MEAN_SERVICE_MS,
  simulateAdmission,
} from "./simulate_admission.ts";

interface AdmissionRow {
  readonly [field: string]: string | number;
  readonly policy: string;
  readonly load: number;
  readonly goodputPerSecond: number;
  readonly p95Ms: number;
  readonly shareErrorPercent: number;
}

const SEEDS = [11, 22, 33];
const LOADS = [0.5, 1, 1.5, 2, 3];
const SLOT_COUNT = 64;
const MS_PER_SECOND = 1_000;
const CAPACITY_PER_SECOND = SLOT_COUNT / MEAN_SERVICE_MS * MS_PER_SECOND;
const OWN_POLICY = "fair slots";
const MIN_GOODPUT_SHARE = 0.95;
const MAX_SHARE_ERROR_PERCENT = 10;
const MAX_FIRST_TOKEN_MS = 350;
const OVERLOAD = 3;

const ORGANISATIONS: readonly LoadOrganisation[] = [
  { name: "large-a", weight: 4, demandShare: 0.4 },
  { name: "large-b", weight: 4, demandShare: 0.2 },
  { name: "small-a", weight: 1, demandShare: 0.3 },
  { name: "small-b", weight: 1, demandShare: 0.1 },
];
const POLICIES: Record<string, () => AdmissionPolicy> = {
  "no admission": () => new FifoPolicy({ slotCount: SLOT_COUNT }),
  "fifo with timeouts": () => createTimeoutPolicy(SLOT_COUNT),
  "token bucket": () =>
    new TokenBucketPolicy({
      slotCount: SLOT_COUNT,
      requestsPerSecond: CAPACITY_PER_SECOND,
    }),
  [OWN_POLICY]: () => new SlotPolicy({ slotCount: SLOT_COUNT }),
};

/** Goodput under overload against the baselines. */
export const admissionBench: Bench = {
  name: "admission",
  description: "goodput and fairness under overload against three baselines",
  run: () => Promise.resolve(runAdmissionBench()),
};

function runAdmissionBench(): BenchResult {
  const rows = Object.keys(POLICIES).flatMap((policy) =>
    LOADS.map((load) => measurePolicy(policy, load))
  );
  const own = rows.filter(({ policy }) => policy === OWN_POLICY);
  return { rows, targets: judge(own) };
}

function measurePolicy(policy: string, load: number): AdmissionRow {
  const runs = SEEDS.map((seed) =>
    simulateAdmission({
      organisations: ORGANISATIONS,
      slotCount: SLOT_COUNT,
      requestsPerSecond: CAPACITY_PER_SECOND * load,
      seed,
    }, POLICIES[policy]!())
  );
  const times = runs.flatMap(({ firstTokenMs }) => firstTokenMs);
  const sorted = Float64Array.from(times).sort();
  const goodput = average(runs.map((run) => run.goodputPerSecond));
  return {
    policy,
    load,
    goodputPerSecond: Number(goodput.toFixed(2)),
    refused: runs.reduce((sum, run) => sum + run.refused, 0),
    givenUp: runs.reduce((sum, run) => sum + run.givenUp, 0),
    p95Ms: Math.round(sorted[Math.floor(sorted.length * 0.95)] ?? 0),
    shareErrorPercent: Number(findShareError(runs, load).toFixed(1)),
  };
}

/** Largest deviation of an organisation from its max-min fair part. */
function findShareError(runs: readonly AdmissionRun[], load: number): number {
  const wanted = findFairParts(load);
  const good = ORGANISATIONS.map(({ name }) =>
    average(runs.map((run) => run.goodByOrganisation.get(name) ?? 0))
  );
  const total = good.reduce((sum, count) => sum + count, 0);
  if (total === 0) return 100;
  const totalWanted = wanted.reduce((sum, part) => sum + part, 0);
  const errors = wanted.map((part, index) =>
    Math.abs(good[index]! / total * totalWanted / part - 1) * 100
  );
  return Math.max(...errors);
}

/** Parts of the capacity: by weight, but none more than it asks for. */
function findFairParts(load: number): number[] {
  const demands = ORGANISATIONS.map(({ demandShare }) => demandShare * load);
  const parts = demands.map(() => 0);
  let open = ORGANISATIONS.map((_, index) => index);
  let rest = 1;
  while (open.length > 0) {
    const weights = open.reduce(
      (sum, index) => sum + ORGANISATIONS[index]!.weight,
      0,
    );
    const partOf = (index: number) =>
      rest * ORGANISATIONS[index]!.weight / weights;
    const filled = open.filter((index) => demands[index]! <= partOf(index));
    if (filled.length === 0) {
      for (const index of open) parts[index] = partOf(index);
      return parts;
    }
    for (const index of filled) parts[index] = demands[index]!;
    rest -= filled.reduce((sum, index) => sum + demands[index]!, 0);
    open = open.filter((index) => !filled.includes(index));
  }
  return parts;
}

function average(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function judge(own: readonly AdmissionRow[]): BenchResult["targets"] {
  const atCapacity = own.find(({ load }) => load === 1)!;
  const overloaded = own.find(({ load }) => load === OVERLOAD)!;
  const goodputShare = overloaded.goodputPerSecond /
    atCapacity.goodputPerSecond;
  const shareError = Math.max(
    ...own.map(({ shareErrorPercent }) => shareErrorPercent),
  );
  const slowest = Math.max(...own.map(({ p95Ms }) => p95Ms));
  return [
    {
      target: "goodput at 3 times capacity at least 0.95 of that at capacity",
      measured: goodputShare.toFixed(3),
      isReached: goodputShare >= MIN_GOODPUT_SHARE,
    },
    {
      target: "share error between organisations under 10% at all loads",
      measured: `${shareError}%`,
      isReached: shareError < MAX_SHARE_ERROR_PERCENT,
    },
    {
      target: "first-token p95 of admitted requests within 350 ms at all loads",
      measured: `${slowest} ms`,
      isReached: slowest <= MAX_FIRST_TOKEN_MS,
    },
  ];
}
