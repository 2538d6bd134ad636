import type { Bench, BenchResult } from "../bench.ts";
import { FUZZ_TARGETS } from "./fuzz_targets.ts";
import { runFuzz } from "./run_fuzz.ts";

const CASE_COUNT_PER_TARGET = 30_000;
const MIN_CASE_COUNT = 100_000;
const SEED = 20_261_204;

/** Feeds malformed inputs to every parser and validator of external input. */
export const fuzzBench: Bench = {
  name: "fuzz",
  description: "Malformed inputs never throw anything but a typed refusal",
  run: runFuzzBench,
};

function runFuzzBench(): Promise<BenchResult> {
  const rows = FUZZ_TARGETS.map((target) =>
    runFuzz(target, { caseCount: CASE_COUNT_PER_TARGET, seed: SEED })
  );
  const cases = rows.reduce((sum, row) => sum + row.cases, 0);
  const crashes = rows.reduce((sum, row) => sum + row.crashes, 0);
  return Promise.resolve({
    rows,
    targets: [{
      target: `${MIN_CASE_COUNT} cases or more without a crash`,
      measured: `${cases} cases, ${crashes} crashes`,
      isReached: cases >= MIN_CASE_COUNT && crashes === 0,
    }],
  });
}
