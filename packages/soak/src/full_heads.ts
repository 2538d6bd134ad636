import type { FakeInstanceServer, HeadLimits } from "@celerytray/fakes";
import { setTimeout as sleep } from "node:timers/promises";
import type { SoakCallers } from "./soak_callers.ts";
import type { SoakCluster } from "./soak_cluster.ts";

/** Time within which a model instance that restarts has few places, too. */
const RENEWAL_MS = 200;

/** Gives model instances few places for a time, and sends more than they take. */
export async function fillHeads(
  cluster: SoakCluster,
  limits: HeadLimits,
  { durationMs, callers }: {
    readonly durationMs: number;
    readonly callers: SoakCallers;
  },
): Promise<void> {
  const { instances } = cluster.platform;
  const { history } = cluster;
  const end = history.beginState(history.fullPeriods, "heads");
  const limited = new Set<FakeInstanceServer>();
  const endMs = performance.now() + durationMs;
  const calling = callers.sendSteadily(cluster, durationMs);
  while (performance.now() < endMs) {
    for (const server of instances.values()) {
      if (limited.has(server)) continue;
      server.limitHead(limits);
      limited.add(server);
    }
    await sleep(RENEWAL_MS);
  }
  for (const server of limited) server.limitHead(undefined);
  await calling;
  end();
}
