/** In-memory clusters of processes with leader election. */
export {
  type CoordinatedProcess,
  endProcess,
  type ProcessState,
} from "./coordinated_process.ts";
export {
  createSimulatedCluster,
  type SimulatedCluster,
} from "./simulated_cluster.ts";
