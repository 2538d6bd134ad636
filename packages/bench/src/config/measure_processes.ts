import { startLocalCluster } from "@celerytray/cli";
import { setTimeout as sleep } from "node:timers/promises";
import { createSampleConfig, setReplicaCount } from "./sample_config.ts";
import { summarise } from "./summarise.ts";

const PLAIN_CHANGES = 20;
const RESTART_CHANGES = 5;
const POLL_MS = 20;
const MAX_WAIT_MS = 30_000;
const HEADROOM_CHANGES = 1;

type Cluster = Awaited<ReturnType<typeof startLocalCluster>>;

/** Publishes to processes of their own, and while one of them restarts. */
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
    let count = HEADROOM_CHANGES;
    const change = () =>
      publishAndWait(cluster, setReplicaCount(base, count++));
    await change();
    const plainMs: number[] = [];
    for (let index = 0; index < PLAIN_CHANGES; index++) {
      plainMs.push(await change());
    }
    const restartMs: number[] = [];
    for (let index = 0; index < RESTART_CHANGES; index++) {
      const entry = cluster.entries[1 + index]!;
      await entry.process.stop("SIGKILL");
      entry.restart();
      restartMs.push(await change());
    }
    return [
      summarise(`${options.entryCount} processes`, plainMs),
      summarise(
        `${options.entryCount} processes, one killed and restarting`,
        restartMs,
      ),
    ];
  } finally {
    await cluster.stop();
  }
}

/** Time from the log's acceptance until all have the version. */
async function publishAndWait(
  cluster: Cluster,
  config: ReturnType<typeof createSampleConfig>,
): Promise<number> {
  const [first] = cluster.entries;
  const deadlineMs = Date.now() + MAX_WAIT_MS;
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
