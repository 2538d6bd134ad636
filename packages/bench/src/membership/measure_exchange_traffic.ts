import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { VirtualEntries } from "../config/virtual_entries.ts";
import type { ExchangeCost } from "./measure_exchange_cost.ts";

/** A date in 2026 gives timestamps with as many digits as real ones. */
const START_MS = Date.UTC(2026, 0, 1);
const ORGANISATIONS = 10;
const WARM_UP_MS = 30_000;
const MEASURED_MS = 30_000;

/** Options of a simulated group of entry instances. */
export interface GroupOptions {
  readonly count: number;
  readonly cost: ExchangeCost;
  /** Whether the log is unavailable to all members. */
  readonly isLogOut: boolean;
}

/** Simulates a group on virtual time; returns the traffic and CPU share of one member. */
export async function measureExchangeTraffic(
  { count, cost, isLogOut }: GroupOptions,
) {
  const group = new VirtualEntries({ count, seed: 23 });
  const before = { calls: 0, bytes: 0 };
  const after = { calls: 0, bytes: 0 };
  const run = Effect.gen(function* () {
    yield* TestClock.setTime(START_MS);
    yield* group.startAll();
    for (const { membership } of group.entries.values()) {
      for (let index = 0; index < ORGANISATIONS; index++) {
        membership.demand.setOwnDemand(`organisation-${index}`, 10.5 * index);
      }
    }
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
  const overhead = cost.requestOverheadBytes + cost.answerOverheadBytes;
  return {
    run: `${count} members${isLogOut ? ", log out" : ""}`,
    members: count,
    callsPerSecond: round(callsPerSecond),
    bodyBytesPerSecond: Math.round(bodyBytes),
    bytesPerSecond: Math.round(bodyBytes + callsPerSecond * overhead),
    coreShare: round(callsPerSecond * cost.processorMs / 1_000),
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

function round(value: number): number {
  return Number(value.toPrecision(3));
}
