import type { Bench, BenchResult } from "../bench.ts";
import {
  type ClaimLoad,
  type ClaimLoadResult,
  runClaimLoad,
} from "./run_claim_load.ts";
import { simulateWriters } from "./simulate_writers.ts";

const MIN_GRANTED_PER_SECOND = 3_000;
const FULL_CALLS_PER_SECOND = 3_400;
const HALF_CALLS_PER_SECOND = 1_500;
const APPENDS_PER_SECOND = 270;
const DURATION_MS = 10_000;
const MAX_P99_MS = 150;
const OUTAGE = { afterMs: 5_000, lastsMs: 60_000 };
const OUTAGE_CALLS_PER_SECOND = 300;
const RECOVERY_MS = 2_000;
const BASE = {
  partitionCount: 1,
  appendsPerSecond: APPENDS_PER_SECOND,
  durationMs: DURATION_MS,
};

/** Rate and latency of claims on a log of 300 appends a second. */
export const claimsBench: Bench = {
  name: "claims",
  description: "claims a second, added latency and recovery after an outage",
  run,
};

async function run(): Promise<BenchResult> {
  const loads = [
    { writerCount: 1, callsPerSecond: HALF_CALLS_PER_SECOND },
    { writerCount: 1, callsPerSecond: FULL_CALLS_PER_SECOND },
    { writerCount: 9, callsPerSecond: HALF_CALLS_PER_SECOND },
    { writerCount: 9, callsPerSecond: FULL_CALLS_PER_SECOND },
    {
      writerCount: 9,
      callsPerSecond: HALF_CALLS_PER_SECOND,
      partitionCount: 4,
    },
  ].map((load): ClaimLoad => ({ ...BASE, ...load }));
  const results: ClaimLoadResult[] = [];
  for (const load of loads) results.push(await runClaimLoad(load));
  const outageLoad: ClaimLoad = {
    ...BASE,
    writerCount: 9,
    callsPerSecond: OUTAGE_CALLS_PER_SECOND,
    durationMs: OUTAGE.afterMs + OUTAGE.lastsMs + DURATION_MS,
    outage: OUTAGE,
  };
  const outage = await runClaimLoad(outageLoad);
  const simulated = await simulateWriters({
    writerCount: 390,
    appendsPerSecond: APPENDS_PER_SECOND,
    callsPerSecond: HALF_CALLS_PER_SECOND,
    durationMs: DURATION_MS,
    delayMs: 1,
  });
  const doubleRunCount = [...results, outage].reduce(
    (sum, result) => sum + result.doubleRunCount,
    0,
  );
  const recovered = describeRecovery(outage);
  const [, , half, full, halfOverFour] = results;
  return {
    rows: [
      ...results.map((result, index) => describeLoad(loads[index]!, result)),
      describeLoad(outageLoad, outage),
      {
        load: "390 writers, virtual time, append only, no forwarding",
        offeredPerSecond: HALF_CALLS_PER_SECOND,
        p50Ms: simulated.getValueAtPercentile(50),
        p99Ms: simulated.getValueAtPercentile(99),
      },
    ],
    targets: [
      {
        target: "at least 3000 claims/s over 9 writers",
        measured: `${Math.round(full!.grantedPerSecond)} granted/s`,
        isReached: full!.grantedPerSecond >= MIN_GRANTED_PER_SECOND,
      },
      createLatencyTarget("9 writers", half!.latencyMs),
      createLatencyTarget("9 writers, 4 partitions", halfOverFour!.latencyMs),
      createLatencyTarget("390 simulated writers", simulated),
      {
        target: "no key granted twice",
        measured: `${doubleRunCount} keys`,
        isReached: doubleRunCount === 0,
      },
      {
        target: `no refusal later than ${RECOVERY_MS} ms after the outage`,
        measured: `last refusal ${recovered} ms after it`,
        isReached: recovered <= RECOVERY_MS,
      },
    ],
  };
}

function describeLoad(load: ClaimLoad, result: ClaimLoadResult) {
  const outage = load.outage === undefined
    ? ""
    : `, log out for ${load.outage.lastsMs} ms`;
  return {
    load:
      `${load.writerCount} writers, ${load.partitionCount} partitions${outage}`,
    offeredPerSecond: load.callsPerSecond,
    grantedPerSecond: Math.round(result.grantedPerSecond),
    replayed: result.replayedCount,
    p50Ms: result.latencyMs.getValueAtPercentile(50),
    p99Ms: result.latencyMs.getValueAtPercentile(99),
    refused: result.refusedAfterMs.length,
    otherFailures: JSON.stringify(result.otherFailures),
    doubleRuns: result.doubleRunCount,
  };
}

function createLatencyTarget(
  writers: string,
  latencyMs: ClaimLoadResult["latencyMs"],
) {
  const p99Ms = latencyMs.getValueAtPercentile(99);
  return {
    target: `p99 under ${MAX_P99_MS} ms at 1500 claims/s, ${writers}`,
    measured: `${p99Ms} ms`,
    isReached: p99Ms < MAX_P99_MS,
  };
}

/** Time from the outage's end to the start of the last refused call. */
function describeRecovery(result: ClaimLoadResult): number {
  const last = result.refusedAfterMs.reduce((a, b) => Math.max(a, b), 0);
  return last - OUTAGE.afterMs - OUTAGE.lastsMs;
}
