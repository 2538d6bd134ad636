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
import { summarise } from "./summarise.ts";
import { VirtualEntries } from "./virtual_entries.ts";

const ENTRY_COUNT = 9;
const CHANGE_COUNT = 50;
const TARGET_MS = 3_000;
const CHANGES_PER_DAY = 15_000;
const DAY_MS = 86_400_000;
const CORE_SHARE = 0.013;
const STEP_MS = 20;

/** Time from accepted to in force, and what one change costs. */
export const configBench: Bench = {
  name: "config",
  description: "Time until a change is in force on 9 processes, and its cost",
  run: runConfigBench,
};

async function runConfigBench(): Promise<BenchResult> {
  const processes = await measureProcesses({ entryCount: ENTRY_COUNT });
  const delays = [
    ...processes,
    await measureVirtual("virtual, no fault", () => {}),
    await measureVirtual("virtual, one cut off from the log", (group) => {
      group.get(8).logFaults.isOut = true;
    }),
    await measureVirtual(
      "virtual, one cut off from the log that reaches no peer",
      (group) => {
        group.get(8).logFaults.isOut = true;
        group.setOutgoing("entry-8", true);
      },
    ),
    await measureVirtual("virtual, three cut off from the log", (group) => {
      for (const index of [6, 7, 8]) group.get(index).logFaults.isOut = true;
    }),
  ];
  const costs = [10, 100, 500].map(measureCost);
  const largest = costs.at(-1)!;
  const smallest = costs[0]!;
  const coreShare = CHANGES_PER_DAY * largest.meanMs / DAY_MS;
  return {
    rows: [...delays, ...costs],
    targets: [
      ...delays.map(({ run, maxMs, changes }) => ({
        target: `${run}: in force everywhere within ${TARGET_MS} ms`,
        measured: `${maxMs} ms at most over ${changes} changes`,
        isReached: maxMs <= TARGET_MS,
      })),
      {
        target:
          `${CHANGES_PER_DAY} changes a day at 500 organisations take under ${CORE_SHARE} of a core`,
        measured: coreShare.toExponential(2),
        isReached: coreShare <= CORE_SHARE,
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

/** Publishes changes one by one under a fault, on virtual time. */
async function measureVirtual(
  run: string,
  bringAbout: (group: VirtualEntries) => void,
) {
  const group = new VirtualEntries({ count: ENTRY_COUNT, seed: 17 });
  const delaysMs: number[] = [];
  const measure = Effect.gen(function* () {
    yield* group.startAll();
    yield* TestClock.adjust(20_000);
    bringAbout(group);
    yield* TestClock.adjust(5_000);
    const base = createSampleConfig();
    for (let change = 1; change <= CHANGE_COUNT; change++) {
      yield* Effect.forkChild(Effect.ignore(group.publish(group.get(0), {
        config: setReplicaCount(base, change),
        recordId: `record-${change}`,
      })));
      delaysMs.push(yield* waitForAll(group, change));
      yield* TestClock.adjust(137);
    }
    yield* group.stopAll();
  });
  await Effect.runPromise(measure.pipe(Effect.provide(TestClock.layer())));
  return summarise(run, delaysMs);
}

function waitForAll(group: VirtualEntries, version: number) {
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

const COST_CHANGES = 2_000;

/** Folds small changes over a set of some size. */
function measureCost(organisationCount: number) {
  const base = createSampleConfig({ organisationCount, serviceCount: 20 });
  let state = emptyConfigState();
  const first = createConfigPatch(state.config, base)!;
  state = foldConfigRecord(state, createEntry(0, first));
  const start = process.cpuUsage();
  for (let offset = 1; offset <= COST_CHANGES; offset++) {
    const name = `organisation-${offset % organisationCount}`;
    const patch = { organisations: { [name]: { requestsPerSecond: offset } } };
    state = foldConfigRecord(state, createEntry(offset, patch));
  }
  const { user, system } = process.cpuUsage(start);
  if (state.version !== COST_CHANGES + 1) throw new Error("A change was lost");
  const meanMs = (user + system) / 1_000 / COST_CHANGES;
  return {
    run: `fold at ${organisationCount} organisations`,
    changes: COST_CHANGES,
    meanMs: Number(meanMs.toFixed(4)),
  };
}

function createEntry(offset: number, patch: Readonly<Record<string, unknown>>) {
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
