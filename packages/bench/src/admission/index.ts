/** Measurements of admission. */
export { admissionBench } from "./admission_bench.ts";
