import {
  AffinityRouter,
  LeastReportedRouter,
  PowerOfTwoRouter,
  RandomRouter,
  RoundRobinRouter,
} from "celerytray";
import type { Bench, BenchResult } from "../bench.ts";
import { measureChoice } from "./measure_choice.ts";
import {
  type RoutingPolicy,
  type RoutingScenario,
  simulateRouting,
} from "./simulate_routing.ts";

interface PolicyRow {
  readonly [field: string]: string | number;
  readonly scenario: string;
  readonly policy: string;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly prefixHitRate: number;
}

type CreatePolicy = (seed: number, entryCount: number) => RoutingPolicy;

const SEEDS = [11, 22, 33];
const OWN_POLICY = "affinity";
/** Target for p95 relative to the best baseline, with shared prefixes. */
const MAX_P95_RATIO_SHARED = 0.7;
/** The same without shared prefixes. */
const MAX_P95_RATIO_UNSHARED = 1.1;
const POLICIES: Record<string, CreatePolicy> = {
  random: (seed) => ({ router: new RandomRouter({ seed }) }),
  "round robin": (seed) => ({ router: new RoundRobinRouter({ seed }) }),
  "least reported": () => ({ router: new LeastReportedRouter() }),
  "power of two": (seed) => ({ router: new PowerOfTwoRouter({ seed }) }),
  [OWN_POLICY]: (seed, entryCount) => {
    const router = new AffinityRouter({ seed, entryCount: () => entryCount });
    return {
      router,
      noteCacheEvent: (event) => router.noteCacheEvent(event),
    };
  },
};
const DEPLOYMENTS = [
  {
    name: "tillicum",
    entryCount: 9,
    replicaCount: 65,
    prefixCount: 60,
    zoneDelayMs: 1.5,
  },
  {
    name: "bagmati",
    entryCount: 9,
    replicaCount: 65,
    prefixCount: 40,
    zoneDelayMs: 0.5,
  },
  {
    name: "large",
    entryCount: 3,
    replicaCount: 6_300,
    prefixCount: 5_000,
    zoneDelayMs: 1.5,
  },
];

/** Compares the time to the first token with the baselines, at 80% load. */
export const routingBench: Bench = {
  name: "routing",
  description: "choice of the replica against four baselines",
  run: () => Promise.resolve(runRoutingBench()),
};

function runRoutingBench(): BenchResult {
  const rows: PolicyRow[] = [];
  const targets: BenchResult["targets"][number][] = [];
  for (const scenario of createScenarios()) {
    const measured = Object.keys(POLICIES).map((policy) =>
      measurePolicy(scenario, policy)
    );
    rows.push(...measured);
    targets.push(evaluateScenario(scenario, measured));
  }
  const choice = measureChoice({ replicaCount: 6_300 });
  return { rows: [...rows, choice], targets };
}

function createScenarios(): RoutingScenario[] {
  return DEPLOYMENTS.flatMap((deployment) =>
    [true, false].map((hasSharedPrefixes) => ({
      ...deployment,
      name: `${deployment.name}, ${hasSharedPrefixes ? "shared" : "no shared"}`,
      hasSharedPrefixes,
      load: 0.8,
      warmUpMs: deployment.replicaCount > 1_000 ? 1_000 : 10_000,
      measuredMs: deployment.replicaCount > 1_000 ? 600 : 30_000,
    }))
  );
}

function measurePolicy(scenario: RoutingScenario, policy: string): PolicyRow {
  const runs = SEEDS.map((seed) =>
    simulateRouting(scenario, {
      seed,
      createPolicy: (entrySeed) =>
        POLICIES[policy]!(entrySeed, scenario.entryCount),
    })
  );
  const times = runs.flatMap(({ firstTokenMs }) => firstTokenMs);
  const sorted = Float64Array.from(times).sort();
  const percentile = (quantile: number) =>
    Math.round(sorted[Math.floor(sorted.length * quantile)]!);
  const hitRates = runs.map(({ prefixHitRate }) => prefixHitRate);
  const hitRate = hitRates.reduce((sum, rate) => sum + rate, 0) / runs.length;
  return {
    scenario: scenario.name,
    policy,
    requests: sorted.length,
    p50Ms: percentile(0.5),
    p95Ms: percentile(0.95),
    p99Ms: percentile(0.99),
    prefixHitRate: Number(hitRate.toFixed(3)),
  };
}

function evaluateScenario(
  scenario: RoutingScenario,
  rows: readonly PolicyRow[],
): BenchResult["targets"][number] {
  const own = rows.find(({ policy }) => policy === OWN_POLICY)!;
  const baselines = rows.filter(({ policy }) => policy !== OWN_POLICY);
  const bestP95Ms = Math.min(...baselines.map(({ p95Ms }) => p95Ms));
  const maxRatio = scenario.hasSharedPrefixes
    ? MAX_P95_RATIO_SHARED
    : MAX_P95_RATIO_UNSHARED;
  return {
    target: `${scenario.name}: p95 at most ${maxRatio} of the best baseline`,
    measured: `${own.p95Ms} ms of ${bestP95Ms} ms: ${
      (own.p95Ms / bestP95Ms).toFixed(3)
    }`,
    isReached: own.p95Ms <= bestP95Ms * maxRatio,
  };
}
