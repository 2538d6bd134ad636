import { setTimeout as sleep } from "node:timers/promises";
import type { SoakCluster } from "./soak_cluster.ts";

const ONE_REPLICA_SETTLES_MS = 2_500;

export async function slowWork(
  { platform: { plainInstances } }: SoakCluster,
  workMs: number,
  durationMs: number,
): Promise<boolean> {
  const slowed = [...plainInstances.values()];
  const usualMs = slowed.map((instance) => instance.workMs);
  for (const instance of slowed) instance.workMs = workMs;
  await sleep(durationMs);
  slowed.forEach((instance, index) => instance.workMs = usualMs[index]!);
  return true;
}

/** Once the others are known to have ended, nothing is faulty any more. */
export async function keepOneReplica(
  { platform, history }: SoakCluster,
  kept: readonly string[],
  durationMs: number,
): Promise<boolean> {
  const end = history.beginFault({ kind: "instance" }, "one-replica");
  const others = [...platform.instances.keys()].filter((id) =>
    !kept.includes(id)
  );
  for (const id of others) if (platform.find(id).isAlive) platform.kill(id);
  for (const id of kept) await platform.restart(id);
  await sleep(ONE_REPLICA_SETTLES_MS);
  end();
  await sleep(durationMs - ONE_REPLICA_SETTLES_MS);
  for (const id of others) await platform.restart(id);
  return true;
}

export async function slowStreams(
  { platform: { instances } }: SoakCluster,
  pauseMs: number,
  durationMs: number,
): Promise<boolean> {
  const slowed = [...instances.values()];
  const usualMs = slowed.map((instance) => instance.eventPauseMs);
  for (const instance of slowed) instance.eventPauseMs = pauseMs;
  await sleep(durationMs);
  slowed.forEach((each, index) => each.eventPauseMs = usualMs[index]!);
  return true;
}

/** The silence of a sound instance is no fault, and excuses nothing. */
export async function silence(
  { platform }: SoakCluster,
  id: string,
  durationMs: number,
): Promise<boolean> {
  const server = platform.find(id);
  if (!server.isAlive || server.isSilent) return false;
  server.fallSilent(durationMs);
  await sleep(durationMs);
  return true;
}
