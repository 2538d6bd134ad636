/** Slopes of time, memory and traffic over size, for the capacity page. */
export { slopesBench } from "./slopes_bench.ts";
