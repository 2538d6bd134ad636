/** Benchmarks of policies and of running processes. */
export type { Bench, BenchResult } from "./bench.ts";
export { benches } from "./benches.ts";
