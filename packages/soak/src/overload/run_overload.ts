import { waitUntil } from "@celerytray/cli";
import { setTimeout as sleep } from "node:timers/promises";
import { EntryProcess } from "./entry_process.ts";
import { type JudgedStream, judgeStreams } from "./judge_streams.ts";
import { zones } from "./overload_models.ts";
import type { OverloadOptions } from "./overload_options.ts";
import { createConfig, PlannedWork } from "./planned_work.ts";
import type { Disturbance } from "./platform_messages.ts";
import { PlatformProcess } from "./platform_process.ts";
import { RigRandom } from "./rig_random.ts";
import { type CalledStream, StreamCaller } from "./stream_caller.ts";

/** Entry processes of each zone. */
const ENTRIES = [2, 3, 1];
const START_TIMEOUT_MS = 40_000;
/** Replicas that serve before callers come. */
const MIN_HEADS = 11;
const READY_INTERVAL_MS = 1_000;

/** What a run showed. */
export interface OverloadResult {
  readonly streams: readonly JudgedStream[];
  readonly disturbances: readonly Disturbance[];
  readonly arrivals: Readonly<Record<string, number>>;
  readonly heads: number;
  /** Logs by the name of the entry process. */
  readonly logs: ReadonlyMap<string, string>;
}

/** Runs an overloaded fleet for a time. */
export async function runOverload(
  options: OverloadOptions,
): Promise<OverloadResult> {
  const platform = new PlatformProcess();
  const storeAddress = await platform.start(options);
  platform.publishConfig(createConfig(1, new RigRandom(options.seed)));
  const entries = createEntries(options.programs, storeAddress);
  try {
    await Promise.all(entries.map((entry) => entry.start()));
    const heads = await waitUntilServing(platform, entries);
    const work = new PlannedWork({ options, platform, entries });
    const streams = await callAll(options, { platform, entries, work });
    const { runs, disturbances, arrivals } = await platform.finish();
    const logs = new Map(
      entries.map(({ name, logs }) =>
        [name, logs.map((read) => read()).join("")] as const
      ),
    );
    return {
      streams: judgeStreams(streams, { runs, logs: [...logs.values()] }),
      disturbances: [...disturbances, ...work.disturbances],
      arrivals,
      heads,
      logs,
    };
  } finally {
    await Promise.all(entries.map((entry) => entry.stop()));
    platform.stop();
  }
}

function createEntries(
  programs: readonly string[],
  storeAddress: string,
): readonly EntryProcess[] {
  const zoneOf = ENTRIES.flatMap((count, zone) =>
    Array<string>(count).fill(zones[zone]!)
  );
  return zoneOf.map((zone, index) =>
    new EntryProcess({
      name: `entry-${index}`,
      zone,
      program: programs[index % programs.length]!,
      storeAddress,
    })
  );
}

/** Waits until all entries serve both models; returns how many replicas do. */
async function waitUntilServing(
  platform: PlatformProcess,
  entries: readonly EntryProcess[],
): Promise<number> {
  let heads = 0;
  await waitUntil(`${MIN_HEADS} replicas serve`, {
    timeoutMs: START_TIMEOUT_MS,
    check: async () => (heads = await platform.countHeads()) >= MIN_HEADS,
  });
  const callers = [0, 9].map((index) => new StreamCaller(index, entries));
  await waitUntil("all entry processes serve both models", {
    timeoutMs: START_TIMEOUT_MS,
    check: async () => {
      const streams = await Promise.all(
        entries.flatMap((entry) => callers.map((caller) => caller.call(entry))),
      );
      return streams.every(({ isWhole }) => isWhole);
    },
  });
  return heads;
}

async function callAll(
  options: OverloadOptions,
  { platform, entries, work }: {
    readonly platform: PlatformProcess;
    readonly entries: readonly EntryProcess[];
    readonly work: PlannedWork;
  },
): Promise<readonly CalledStream[]> {
  const checkReady = () => {
    for (const entry of entries) void entry.checkReady();
  };
  checkReady();
  const readyTimer = setInterval(checkReady, READY_INTERVAL_MS);
  const streams: CalledStream[] = [];
  let isOver = false;
  const callers = Array.from(
    { length: options.callers },
    (_, index) => new StreamCaller(100 + index, entries),
  );
  platform.disturb();
  const worked = work.run();
  const called = callers.map((caller) =>
    caller.callUntil(() => isOver, (stream) => streams.push(stream))
  );
  await sleep(options.durationMs);
  isOver = true;
  await Promise.all(called);
  work.stop();
  await worked;
  clearInterval(readyTimer);
  return streams;
}
