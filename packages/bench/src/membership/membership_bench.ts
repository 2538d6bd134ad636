import { Effect } from "effect";
import { TestClock } from "effect/testing";
import type { Bench, BenchResult } from "../benches.ts";
import { VirtualEntries } from "../config/virtual_entries.ts";
import { type CallCost, measureCall } from "./measure_call.ts";

const SIZES = [9, 50, 100];
const WARM_UP_MS = 30_000;
const MEASURED_MS = 30_000;
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

interface SizeOptions {
  readonly count: number;
  readonly call: CallCost;
  readonly isLogOut: boolean;
}

/** Runs a group on virtual time and counts what crosses its links. */
async function measureSize({ count, call, isLogOut }: SizeOptions) {
  const group = new VirtualEntries({ count, seed: 23 });
  const before = { calls: 0, bytes: 0 };
  const after = { calls: 0, bytes: 0 };
  const run = Effect.gen(function* () {
    yield* group.startAll();
    yield* TestClock.adjust(WARM_UP_MS);
    for (const { logFaults } of group.entries.values()) {
      logFaults.isOut = isLogOut;
    }
    yield* TestClock.adjust(5_000);
    addTraffic(group, before);
    yield* TestClock.adjust(MEASURED_MS);
    addTraffic(group, after);
    yield* group.stopAll();
  });
  await Effect.runPromise(run.pipe(Effect.provide(TestClock.layer())));
  const seconds = MEASURED_MS / 1_000;
  const callsPerSecond = (after.calls - before.calls) / count / seconds;
  const bodyBytes = (after.bytes - before.bytes) / count / seconds;
  const overhead = call.requestOverheadBytes + call.answerOverheadBytes;
  return {
    run: `${count} members${isLogOut ? ", log out" : ""}`,
    members: count,
    callsPerSecond: round(callsPerSecond),
    bodyBytesPerSecond: Math.round(bodyBytes),
    bytesPerSecond: Math.round(bodyBytes + callsPerSecond * overhead),
    coreShare: round(callsPerSecond * call.processorMs / 1_000),
  };
}

function addTraffic(
  group: VirtualEntries,
  sum: { calls: number; bytes: number },
): void {
  for (const { traffic } of group.entries.values()) {
    sum.calls += traffic.calls;
    sum.bytes += traffic.sentBytes;
  }
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
