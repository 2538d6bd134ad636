import {
  createConfigPatch,
  emptyConfigState,
  foldConfigRecord,
} from "celerytray";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import type { Bench, BenchResult } from "../bench.ts";
import { createSampleConfig, setReplicaCount } from "./sample_config.ts";
import { measureProcesses } from "./measure_processes.ts";
import { summariseDelays } from "./summarise_delays.ts";
import { VirtualEntries } from "./virtual_entries.ts";

const ENTRY_COUNT = 9;
const CHANGE_COUNT = 50;
const MAX_IN_FORCE_DELAY_MS = 3_000;
const CHANGES_PER_DAY = 15_000;
const DAY_MS = 86_400_000;
const MAX_CORE_SHARE = 0.013;
const STEP_MS = 20;

/** Measures the time from a change's acceptance until it is in force, and its cost. */
export const configBench: Bench = {
  name: "config",
  description: "Time until a change is in force on 9 processes, and its cost",
  run: runConfigBench,
};

async function runConfigBench(): Promise<BenchResult> {
  const processRows = await measureProcesses({ entryCount: ENTRY_COUNT });
  const delayRows = [
    ...processRows,
    await measureSimulated("virtual, no fault", () => {}),
    await measureSimulated("virtual, one cut off from the log", (group) => {
      group.get(8).logFaults.isOut = true;
    }),
    await measureSimulated(
      "virtual, one cut off from the log that reaches no peer",
      (group) => {
        group.get(8).logFaults.isOut = true;
        group.setOutgoingCut("entry-8", true);
      },
    ),
    await measureSimulated("virtual, three cut off from the log", (group) => {
      for (const index of [6, 7, 8]) group.get(index).logFaults.isOut = true;
    }),
  ];
  const costRows = [10, 100, 500].map(measureCost);
  const largest = costRows.at(-1)!;
  const smallest = costRows[0]!;
  const coreShare = CHANGES_PER_DAY * largest.meanMs / DAY_MS;
  return {
    rows: [...delayRows, ...costRows],
    targets: [
      ...delayRows.map(({ run, maxMs, changes }) => ({
        target:
          `${run}: in force everywhere within ${MAX_IN_FORCE_DELAY_MS} ms`,
        measured: `${maxMs} ms at most over ${changes} changes`,
        isReached: maxMs <= MAX_IN_FORCE_DELAY_MS,
      })),
      {
        target:
          `${CHANGES_PER_DAY} changes a day at 500 organisations take under ${MAX_CORE_SHARE} of a core`,
        measured: coreShare.toExponential(2),
        isReached: coreShare <= MAX_CORE_SHARE,
      },
      {
        target: "a change costs by its size, not by the set's",
        measured:
          `${smallest.meanMs} ms at 10 organisations, ${largest.meanMs} ms at 500`,
        isReached: largest.meanMs <= 2 * smallest.meanMs,
      },
    ],
  };
}

/** Publishes changes one by one under a fault, in virtual time. */
async function measureSimulated(
  runName: string,
  injectFaults: (group: VirtualEntries) => void,
) {
  const group = new VirtualEntries({ count: ENTRY_COUNT, seed: 17 });
  const delaysMs: number[] = [];
  const measurement = Effect.gen(function* () {
    yield* group.startAll();
    yield* TestClock.adjust(20_000);
    injectFaults(group);
    yield* TestClock.adjust(5_000);
    const base = createSampleConfig();
    for (let change = 1; change <= CHANGE_COUNT; change++) {
      yield* Effect.forkChild(Effect.ignore(group.publish(group.get(0), {
        config: setReplicaCount(base, change),
        recordId: `record-${change}`,
      })));
      delaysMs.push(yield* measureInForceDelay(group, change));
      yield* TestClock.adjust(137);
    }
    yield* group.stopAll();
  });
  await Effect.runPromise(measurement.pipe(Effect.provide(TestClock.layer())));
  return summariseDelays(runName, delaysMs);
}

/**
 * Returns the time in ms from the acceptance of a version until it is in force
 * on all entry instances; infinite if that takes over 60 s.
 */
function measureInForceDelay(group: VirtualEntries, version: number) {
  return Effect.gen(function* () {
    let acceptedAfterMs: number | undefined;
    for (let elapsedMs = 0; elapsedMs < 60_000; elapsedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
      if (group.log.nextOffset("config") >= version) {
        acceptedAfterMs ??= elapsedMs;
      }
      const isEverywhere = group.ids.every((id) =>
        group.entries.get(id)!.config.current().version >= version
      );
      if (isEverywhere) return elapsedMs - (acceptedAfterMs ?? 0) + STEP_MS;
    }
    return Infinity;
  });
}

const FOLD_COUNT = 2_000;

/** Measures the CPU time of folding small changes into a configuration. */
function measureCost(organisationCount: number) {
  const base = createSampleConfig({ organisationCount, serviceCount: 20 });
  let state = emptyConfigState();
  const first = createConfigPatch(state.config, base)!;
  state = foldConfigRecord(state, createLogEntry(0, first));
  const start = process.cpuUsage();
  for (let offset = 1; offset <= FOLD_COUNT; offset++) {
    const name = `organisation-${offset % organisationCount}`;
    const patch = { organisations: { [name]: { requestsPerSecond: offset } } };
    state = foldConfigRecord(state, createLogEntry(offset, patch));
  }
  const { user, system } = process.cpuUsage(start);
  if (state.version !== FOLD_COUNT + 1) throw new Error("Fold lost a change");
  const meanMs = (user + system) / 1_000 / FOLD_COUNT;
  return {
    run: `fold at ${organisationCount} organisations`,
    changes: FOLD_COUNT,
    meanMs: Number(meanMs.toFixed(4)),
  };
}

function createLogEntry(
  offset: number,
  patch: Readonly<Record<string, unknown>>,
) {
  return {
    offset,
    appendedAtMs: offset,
    record: {
      kind: "config" as const,
      recordId: `record-${offset}`,
      refinesVersion: offset,
      patch,
      author: "bench",
      publishedAtMs: offset,
    },
  };
}
