import { startLocalCluster } from "@celerytray/cli";
import { setTimeout as sleep } from "node:timers/promises";
import { createSampleConfig, setReplicaCount } from "./sample_config.ts";
import { summariseDelays } from "./summarise_delays.ts";

const FAULT_FREE_CHANGES = 20;
const RESTART_CHANGES = 5;
const POLL_MS = 20;
const TIMEOUT_MS = 30_000;
const FIRST_REPLICA_COUNT = 1;

type Cluster = Awaited<ReturnType<typeof startLocalCluster>>;

/** Measures delays over separate processes, without faults and while one restarts. */
export async function measureProcesses(
  options: { readonly entryCount: number },
) {
  const availabilityZones = Array.from(
    { length: options.entryCount },
    (_, index) => `zone-${index}`,
  );
  const cluster = await startLocalCluster({
    availabilityZones,
    fabricDomainCount: 0,
    plainInstanceCount: 0,
  });
  try {
    const base = createSampleConfig();
    let replicaCount = FIRST_REPLICA_COUNT;
    const publishNextChange = () =>
      publishAndWait(cluster, setReplicaCount(base, replicaCount++));
    await publishNextChange();
    const faultFreeDelaysMs: number[] = [];
    for (let index = 0; index < FAULT_FREE_CHANGES; index++) {
      faultFreeDelaysMs.push(await publishNextChange());
    }
    const restartDelaysMs: number[] = [];
    for (let index = 0; index < RESTART_CHANGES; index++) {
      const entry = cluster.entries[1 + index]!;
      await entry.process.stop("SIGKILL");
      entry.restart();
      restartDelaysMs.push(await publishNextChange());
    }
    return [
      summariseDelays(`${options.entryCount} processes`, faultFreeDelaysMs),
      summariseDelays(
        `${options.entryCount} processes, one killed and restarting`,
        restartDelaysMs,
      ),
    ];
  } finally {
    await cluster.stop();
  }
}

/**
 * Publishes a configuration and returns the time in ms from its acceptance by
 * the log until all processes have it; infinite after the timeout.
 */
async function publishAndWait(
  cluster: Cluster,
  config: ReturnType<typeof createSampleConfig>,
): Promise<number> {
  const [first] = cluster.entries;
  const deadlineMs = Date.now() + TIMEOUT_MS;
  const { version } = await cluster.admin(first!).applyConfig.mutate({
    config,
    author: "bench",
  });
  while (Date.now() < deadlineMs) {
    const statuses = await Promise.all(
      cluster.entries.map((entry) =>
        cluster.admin(entry).status.query().catch(() => undefined)
      ),
    );
    const seenAtMs = Date.now();
    const isEverywhere = statuses.every((status) =>
      status !== undefined && status.configVersion >= version
    );
    if (isEverywhere) return seenAtMs - statuses[0]!.configAcceptedAtMs;
    await sleep(POLL_MS);
  }
  return Infinity;
}
