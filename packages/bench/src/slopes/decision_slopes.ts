import { AffinityRouter } from "celerytray";
import { measurePlanning } from "../formation/planning_cost.ts";
import { measureExchangeCost } from "../membership/measure_exchange_cost.ts";
import { measureExchangeTraffic } from "../membership/measure_exchange_traffic.ts";
import {
  readCpuUs,
  runLoad,
  startRelayProcesses,
} from "../relay/relay_processes.ts";
import { measureMicroseconds } from "./measure.ts";
import type { SlopeMeasurement } from "./slope.ts";

const MICROSECONDS_PER_MS = 1_000;
const INSTANCES_PER_REPLICA = 8;
const CHOICES = 2_000;
const RELAY_REQUESTS = 300;
const RELAY_CONCURRENCY = 16;

/**
 * Slopes of planning, routing, the exchange between entry instances, and the
 * relay of requests.
 */
export const decisionSlopes: readonly SlopeMeasurement[] = [
  {
    name: "quiet planning round",
    per: "replicas",
    unit: "microseconds",
    sizes: [400, 800, 1_600, 3_200],
    measure: (replicaCount) => {
      const cost = measurePlanning({
        instancesPerReplica: INSTANCES_PER_REPLICA,
        replicaCount,
      });
      return Promise.resolve(cost.quietRoundMs * MICROSECONDS_PER_MS);
    },
  },
  {
    name: "choice of a replica",
    per: "replicas",
    unit: "microseconds",
    sizes: [65, 650, 6_300],
    measure: (size) => Promise.resolve(measureChoices(size)),
  },
  {
    name: "exchange between entry instances",
    per: "members",
    unit: "bytes a second",
    sizes: [9, 50, 100],
    measure: measureExchange,
  },
  {
    name: "relay of one request",
    per: "tokens",
    unit: "processor microseconds",
    sizes: [1, 100, 300],
    measure: measureRelay,
  },
];

function measureChoices(replicaCount: number): number {
  const router = new AffinityRouter({ seed: 1 });
  const candidates = Array.from({ length: replicaCount }, (_, index) => ({
    replicaId: `drafter/${index}`,
    availabilityZone: "zone-a",
    reportedRequests: index % 7,
    sentSinceReport: 0,
  }));
  const chooseMany = () => {
    for (let choice = 0; choice < CHOICES; choice++) {
      router.choose(candidates, {
        availabilityZone: "zone-a",
        prefixHashes: [choice % 50, choice],
        nowMs: choice,
      });
    }
  };
  return measureMicroseconds(chooseMany) / CHOICES;
}

async function measureExchange(count: number): Promise<number> {
  const cost = await measureExchangeCost();
  const result = await measureExchangeTraffic({ count, cost, isLogOut: false });
  return result.bytesPerSecond;
}

/**
 * Returns the CPU time that the entry process uses to relay one request, in
 * microseconds.
 */
async function measureRelay(tokenCount: number): Promise<number> {
  const processes = await startRelayProcesses();
  const { clients, entry } = processes;
  const load = {
    address: entry.address,
    tokenCount,
    requestCount: RELAY_REQUESTS,
    concurrency: RELAY_CONCURRENCY,
  };
  try {
    await runLoad(clients, load);
    const beforeUs = await readCpuUs(entry);
    await runLoad(clients, load);
    const usedUs = await readCpuUs(entry) - beforeUs;
    return usedUs / (RELAY_REQUESTS * clients.length);
  } finally {
    processes.stop();
  }
}
