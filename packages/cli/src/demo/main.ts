/** Starts a cluster on this machine and runs the demo on it. */
import { startLocalCluster } from "../local/start_local_cluster.ts";
import { runDemo } from "./run_demo.ts";

for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(130));
}

const staysRunning = process.argv.includes("--keep");
const cluster = await startLocalCluster();
try {
  await runDemo(cluster, { staysRunning });
} finally {
  await cluster.stop();
}
