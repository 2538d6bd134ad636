import type { Bench, BenchResult } from "../bench.ts";
import { measureCall } from "./measure_call.ts";
import { measureSize } from "./measure_size.ts";

const SIZES = [9, 50, 100];
/** Stamps as long as those of today. */
const TARGET_SIZE = 390;
const TARGET_BYTES_PER_SECOND = 2_000;
const TARGET_CORE_SHARE = 0.013;

/** What control between entry instances costs one of them. */
export const membershipBench: Bench = {
  name: "membership",
  description: "Bytes and processor time a node for control, by members",
  run: runMembershipBench,
};

async function runMembershipBench(): Promise<BenchResult> {
  const call = await measureCall();
  const quiet = [];
  for (const count of SIZES) {
    quiet.push(await measureSize({ count, call, isLogOut: false }));
  }
  const outage = [];
  for (const count of SIZES) {
    outage.push(await measureSize({ count, call, isLogOut: true }));
  }
  const rows = [...quiet, ...outage];
  return {
    rows: [
      {
        run: "one call over loopback",
        sentBytes: call.requestOverheadBytes,
        answeredBytes: call.answerOverheadBytes,
        processorMs: call.processorMs,
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
      extrapolate(quiet),
    ],
  };
}

interface SizeResult {
  readonly members: number;
  readonly bytesPerSecond: number;
}

/** The slope from the smallest to the largest group, carried on. */
function extrapolate(results: readonly SizeResult[]) {
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
