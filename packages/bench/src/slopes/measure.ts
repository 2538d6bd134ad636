import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const MICROSECONDS_PER_MS = 1_000;
const TIME_ROUNDS = 5;

/** Heap and buffers that a value keeps alive. */
export function measureRetainedBytes<Value>(create: () => Value): number {
  create();
  collectGarbage();
  const before = usedBytes();
  const value = create();
  collectGarbage();
  const retained = usedBytes() - before;
  // Named after the collection, so that it is not collected in it.
  if (value === undefined) {
    throw new Error("Nothing to measure; return a value");
  }
  return retained;
}

/** Median time of a call over several rounds, after as many to warm up. */
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

/** Processor time of this process that an asynchronous run takes. */
export async function measureCpuMicroseconds(
  run: () => Promise<unknown>,
): Promise<number> {
  const before = process.cpuUsage();
  await run();
  const used = process.cpuUsage(before);
  return used.user + used.system;
}

function usedBytes(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
