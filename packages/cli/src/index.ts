/** Local clusters of separate processes, for the demo, tests and benchmarks. */
export { awaitSignalHandlers } from "./local/await_signal_handlers.ts";
export {
  type LocalCluster,
  startLocalCluster,
} from "./local/start_local_cluster.ts";
export type { LocalClusterOptions } from "./local/plan_cluster.ts";
export {
  applyDemoConfig,
  DEMO_API_KEY,
  DEMO_FOLDER,
  waitUntilReplicasReady,
} from "./local/demo_config.ts";
export { type LocalProcess, startLocalProcess } from "./local/local_process.ts";
export {
  type HostProcess,
  type HostProcessOptions,
  startHostProcess,
} from "./local/host_process.ts";
export { findFreeAddresses } from "./local/free_addresses.ts";
export { waitUntil } from "./local/wait_until.ts";
