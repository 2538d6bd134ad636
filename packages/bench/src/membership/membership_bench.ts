import type { Bench, BenchResult } from "../bench.ts";
import { measureExchangeCost } from "./measure_exchange_cost.ts";
import { measureExchangeTraffic } from "./measure_exchange_traffic.ts";

const SIZES = [9, 50, 100];
const TARGET_SIZE = 390;
const TARGET_BYTES_PER_SECOND = 2_000;
const TARGET_CORE_SHARE = 0.013;

/** Measures what the exchange between entry instances costs each of them. */
export const membershipBench: Bench = {
  name: "membership",
  description:
    "Bytes and CPU time of the exchange for each entry instance, by group size",
  run: runMembershipBench,
};

async function runMembershipBench(): Promise<BenchResult> {
  const cost = await measureExchangeCost();
  const normal = [];
  for (const count of SIZES) {
    normal.push(await measureExchangeTraffic({ count, cost, isLogOut: false }));
  }
  const outage = [];
  for (const count of SIZES) {
    outage.push(await measureExchangeTraffic({ count, cost, isLogOut: true }));
  }
  const rows = [...normal, ...outage];
  return {
    rows: [
      {
        run: "one call over loopback",
        sentBytes: cost.requestOverheadBytes,
        answeredBytes: cost.answerOverheadBytes,
        processorMs: cost.processorMs,
      },
      ...rows,
    ],
    targets: [
      ...rows.map(({ run, bytesPerSecond }) => ({
        target: `${run}: under ${TARGET_BYTES_PER_SECOND} bytes sent a second`,
        measured: `${bytesPerSecond}`,
        isReached: bytesPerSecond <= TARGET_BYTES_PER_SECOND,
      })),
      ...rows.map(({ run, coreShare }) => ({
        target: `${run}: under ${TARGET_CORE_SHARE} of a core`,
        measured: `${coreShare}`,
        isReached: coreShare <= TARGET_CORE_SHARE,
      })),
      extrapolate(normal),
    ],
  };
}

interface GroupResult {
  readonly members: number;
  readonly bytesPerSecond: number;
}

/** Extrapolates linearly from the smallest and the largest group to the target size. */
function extrapolate(results: readonly GroupResult[]) {
  const first = results[0]!;
  const last = results.at(-1)!;
  const slope = (last.bytesPerSecond - first.bytesPerSecond) /
    (last.members - first.members);
  const bytes = last.bytesPerSecond + slope * (TARGET_SIZE - last.members);
  return {
    target:
      `${TARGET_SIZE} members by the slope: under ${TARGET_BYTES_PER_SECOND} bytes sent a second`,
    measured: `${Math.round(bytes)} with ${round(slope)} bytes a member`,
    isReached: bytes <= TARGET_BYTES_PER_SECOND,
  };
}

function round(value: number): number {
  return Number(value.toPrecision(3));
}
