/** Starts a whole system on this machine and shows it at work. */
import { startLocalCluster } from "../local/start_local_cluster.ts";
import { runDemo } from "./run_demo.ts";

for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(130));
}

const isKept = process.argv.includes("--keep");
const cluster = await startLocalCluster();
try {
  await runDemo(cluster, { isKept });
} finally {
  await cluster.stop();
}
