import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const MICROSECONDS_PER_MS = 1_000;
const TIME_ROUNDS = 5;

/** Returns the bytes of heap and external buffers that a value retains. */
export function measureRetainedBytes<Value>(create: () => Value): number {
  create();
  collectGarbage();
  const before = readUsedBytes();
  const value = create();
  collectGarbage();
  const retained = readUsedBytes() - before;
  // This reference after the collection keeps the value alive during it.
  if (value === undefined) {
    throw new Error(
      "The value to measure is undefined; return an object from create()",
    );
  }
  return retained;
}

/** Returns the median time of a call over 5 rounds, after 5 warm-up rounds. */
export function measureMicroseconds(run: () => void): number {
  for (let round = 0; round < TIME_ROUNDS; round++) run();
  const times: number[] = [];
  for (let round = 0; round < TIME_ROUNDS; round++) {
    const startMs = performance.now();
    run();
    times.push((performance.now() - startMs) * MICROSECONDS_PER_MS);
  }
  return times.toSorted((a, b) => a - b)[Math.floor(TIME_ROUNDS / 2)]!;
}

/** Returns the CPU time that this process uses during an asynchronous run. */
export async function measureCpuMicroseconds(
  run: () => Promise<unknown>,
): Promise<number> {
  const before = process.cpuUsage();
  await run();
  const used = process.cpuUsage(before);
  return used.user + used.system;
}

function readUsedBytes(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
