import { completeJoinedFaults } from "@celerytray/fakes";
import { setTimeout as sleep } from "node:timers/promises";
import type { JoinedAnswers } from "./fault_action.ts";
import type { SoakCluster } from "./soak_cluster.ts";

/** Time within which an instance that restarts joins its answers, too. */
const RENEWAL_MS = 200;

/** Has instances, also restarted ones, join answers with faults for a time. */
export async function applyJoinedAnswers(
  { platform }: SoakCluster,
  { instances, oneIn, pieceMs }: JoinedAnswers,
  durationMs: number,
): Promise<void> {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs) {
    for (const id of instances) {
      const faults = platform.instances.has(id)
        ? [...completeJoinedFaults, "no-chunk-size" as const]
        : completeJoinedFaults;
      platform.find(id).joining = { faults, oneIn, pieceMs };
    }
    await sleep(RENEWAL_MS);
  }
  for (const id of instances) platform.find(id).joining = undefined;
}
