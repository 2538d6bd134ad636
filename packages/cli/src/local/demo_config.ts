import { loadConfigFolder } from "celerytray";
import { Effect } from "effect";
import { fileURLToPath } from "node:url";
import type { LocalCluster } from "./start_local_cluster.ts";
import { waitUntil } from "./wait_until.ts";

/** Configuration folder of the demo. */
export const DEMO_FOLDER = fileURLToPath(
  new URL("../../../../examples/demo", import.meta.url),
);

/** API key of an organisation that may call every service of the demo. */
export const DEMO_API_KEY = "demo-key-patan-furniture";

const READY_TIMEOUT_MS = 30_000;

/** Publishes the demo's configuration and returns its version. */
export async function applyDemoConfig(
  cluster: LocalCluster,
  options: { readonly author: string },
): Promise<number> {
  const { config } = await Effect.runPromise(loadConfigFolder(DEMO_FOLDER));
  const [entry] = cluster.entries;
  const published = await cluster.admin(entry!).applyConfig.mutate({
    config,
    author: options.author,
  });
  return published.version;
}

/** Waits until every entry instance reports all wanted replicas as ready. */
export async function waitUntilReplicasReady(
  cluster: LocalCluster,
): Promise<void> {
  await waitUntil("every entry instance reports all replicas as ready", {
    timeoutMs: READY_TIMEOUT_MS,
    check: async () => {
      const statuses = await Promise.all(
        cluster.entries.map((each) => cluster.admin(each).status.query()),
      );
      return statuses.every(({ services }) =>
        services.length > 0 &&
        services.every((service) =>
          service.readyReplicas === service.wantedReplicas
        )
      );
    },
  });
}
