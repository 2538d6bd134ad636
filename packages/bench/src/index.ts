/** Measurements of policies and of running processes. */
export { type Bench, benches, type BenchResult } from "./benches.ts";
