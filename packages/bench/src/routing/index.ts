/** Benchmark of replica routing. */
export { routingBench } from "./routing_bench.ts";
