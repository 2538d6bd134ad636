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

/** Time from the publication's answer until all have the version. */
async function publishAndWait(
  cluster: Cluster,
  config: ReturnType<typeof createSampleConfig>,
): Promise<number> {
  const [first] = cluster.entries;
  const startedAtMs = performance.now();
  const { version } = await cluster.admin(first!).applyConfig.mutate({
    config,
    author: "bench",
  });
  while (performance.now() - startedAtMs < MAX_WAIT_MS) {
    const versions = await Promise.all(
      cluster.entries.map((entry) =>
        cluster.admin(entry).status.query()
          .then(({ configVersion }) => configVersion)
          .catch(() => 0)
      ),
    );
    if (versions.every((each) => each >= version)) {
      return performance.now() - startedAtMs;
    }
    await sleep(POLL_MS);
  }
  return Infinity;
}
