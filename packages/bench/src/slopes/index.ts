/** Growth of time, memory and traffic with size, for the capacity page. */
export { slopesBench } from "./slopes_bench.ts";
