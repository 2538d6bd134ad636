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
const FAIR_SLOTS = "fair slots";
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
  [FAIR_SLOTS]: () => new SlotPolicy({ slotCount: SLOT_COUNT }),
};

/** Measures goodput and fairness under overload against three baselines. */
export const admissionBench: Bench = {
  name: "admission",
  description: "goodput and fairness under overload against three baselines",
  run: () => Promise.resolve(runAdmissionBench()),
};

function runAdmissionBench(): BenchResult {
  const rows = Object.keys(POLICIES).flatMap((policy) =>
    LOADS.map((load) => measurePolicy(policy, load))
  );
  const fairSlotsRows = rows.filter(({ policy }) => policy === FAIR_SLOTS);
  return { rows, targets: createTargets(fairSlotsRows) };
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
  const firstTokenTimesMs = runs.flatMap(({ firstTokenMs }) => firstTokenMs);
  const sorted = Float64Array.from(firstTokenTimesMs).sort();
  const goodput = average(runs.map((run) => run.goodputPerSecond));
  return {
    policy,
    load,
    goodputPerSecond: Number(goodput.toFixed(2)),
    refused: runs.reduce((sum, run) => sum + run.refusedCount, 0),
    givenUp: runs.reduce((sum, run) => sum + run.neverStartedCount, 0),
    p95Ms: Math.round(sorted[Math.floor(sorted.length * 0.95)] ?? 0),
    shareErrorPercent: Number(findShareError(runs, load).toFixed(1)),
  };
}

/** Returns the largest deviation in % of an organisation from its max-min fair share. */
function findShareError(runs: readonly AdmissionRun[], load: number): number {
  const fairShares = findFairShares(load);
  const goodCounts = ORGANISATIONS.map(({ name }) =>
    average(runs.map((run) => run.goodByOrganisation.get(name) ?? 0))
  );
  const total = goodCounts.reduce((sum, count) => sum + count, 0);
  if (total === 0) return 100;
  const totalFairShare = fairShares.reduce((sum, share) => sum + share, 0);
  const errors = fairShares.map((share, index) =>
    Math.abs(goodCounts[index]! / total * totalFairShare / share - 1) * 100
  );
  return Math.max(...errors);
}

/** Returns the max-min fair shares of the capacity: by weight, up to each demand. */
function findFairShares(load: number): number[] {
  const demands = ORGANISATIONS.map(({ demandShare }) => demandShare * load);
  const shares = demands.map(() => 0);
  let unsatisfied = ORGANISATIONS.map((_, index) => index);
  let remainingCapacity = 1;
  while (unsatisfied.length > 0) {
    const weightSum = unsatisfied.reduce(
      (sum, index) => sum + ORGANISATIONS[index]!.weight,
      0,
    );
    const shareOf = (index: number) =>
      remainingCapacity * ORGANISATIONS[index]!.weight / weightSum;
    const satisfied = unsatisfied.filter((index) =>
      demands[index]! <= shareOf(index)
    );
    if (satisfied.length === 0) {
      for (const index of unsatisfied) shares[index] = shareOf(index);
      return shares;
    }
    for (const index of satisfied) shares[index] = demands[index]!;
    remainingCapacity -= satisfied.reduce(
      (sum, index) => sum + demands[index]!,
      0,
    );
    unsatisfied = unsatisfied.filter((index) => !satisfied.includes(index));
  }
  return shares;
}

function average(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function createTargets(
  fairSlotsRows: readonly AdmissionRow[],
): BenchResult["targets"] {
  const atCapacity = fairSlotsRows.find(({ load }) => load === 1)!;
  const overloaded = fairSlotsRows.find(({ load }) => load === OVERLOAD)!;
  const goodputShare = overloaded.goodputPerSecond /
    atCapacity.goodputPerSecond;
  const shareError = Math.max(
    ...fairSlotsRows.map(({ shareErrorPercent }) => shareErrorPercent),
  );
  const maxP95Ms = Math.max(...fairSlotsRows.map(({ p95Ms }) => p95Ms));
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
      measured: `${maxP95Ms} ms`,
      isReached: maxP95Ms <= MAX_FIRST_TOKEN_MS,
    },
  ];
}
