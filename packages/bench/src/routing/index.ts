/** Measurements of the choice of a replica. */
export { routingBench } from "./routing_bench.ts";
