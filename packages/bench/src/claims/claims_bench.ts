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
const LOG_OUTAGE = { startsAfterMs: 5_000, durationMs: 60_000 };
const OUTAGE_CALLS_PER_SECOND = 300;
const MAX_RECOVERY_MS = 2_000;
const BASE_LOAD = {
  partitionCount: 1,
  appendsPerSecond: APPENDS_PER_SECOND,
  durationMs: DURATION_MS,
};

/** Measures the rate and latency of claims on a log of 300 appends a second. */
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
  ].map((load): ClaimLoad => ({ ...BASE_LOAD, ...load }));
  const results: ClaimLoadResult[] = [];
  for (const load of loads) results.push(await runClaimLoad(load));
  const outageLoad: ClaimLoad = {
    ...BASE_LOAD,
    writerCount: 9,
    callsPerSecond: OUTAGE_CALLS_PER_SECOND,
    durationMs: LOG_OUTAGE.startsAfterMs + LOG_OUTAGE.durationMs + DURATION_MS,
    outage: LOG_OUTAGE,
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
  const recoveryMs = findRecoveryMs(outage);
  const [, , halfLoad, fullLoad, halfLoadFourPartitions] = results;
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
        measured: `${Math.round(fullLoad!.grantedPerSecond)} granted/s`,
        isReached: fullLoad!.grantedPerSecond >= MIN_GRANTED_PER_SECOND,
      },
      createLatencyTarget("9 writers", halfLoad!.latencyMs),
      createLatencyTarget(
        "9 writers, 4 partitions",
        halfLoadFourPartitions!.latencyMs,
      ),
      createLatencyTarget("390 simulated writers", simulated),
      {
        target: "no key granted twice",
        measured: `${doubleRunCount} keys`,
        isReached: doubleRunCount === 0,
      },
      {
        target: `no refusal later than ${MAX_RECOVERY_MS} ms after the outage`,
        measured: `last refusal ${recoveryMs} ms after it`,
        isReached: recoveryMs <= MAX_RECOVERY_MS,
      },
    ],
  };
}

function describeLoad(load: ClaimLoad, result: ClaimLoadResult) {
  const outage = load.outage === undefined
    ? ""
    : `, log out for ${load.outage.durationMs} ms`;
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

/** Returns the time in ms from the end of the outage to the start of the last refused call. */
function findRecoveryMs(result: ClaimLoadResult): number {
  const last = result.refusedAfterMs.reduce(
    (maximum, value) => Math.max(maximum, value),
    0,
  );
  return last - LOG_OUTAGE.startsAfterMs - LOG_OUTAGE.durationMs;
}
