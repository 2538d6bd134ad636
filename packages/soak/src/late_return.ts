import type { FakeHttpInstance } from "@celerytray/fakes";
import { setTimeout as sleep } from "node:timers/promises";
import { awaitEndOfLife } from "./await_end_of_life.ts";
import { bounds } from "./bounds.ts";
import type { LateReturn } from "./fault_action.ts";
import type { SoakCluster } from "./soak_cluster.ts";

/** Longest time for which the store is away before it comes back from a copy. */
export const MAX_AWAY_MS = 1_000;
/** Changes of the configuration that the copy lacks. */
const LOST_CHANGES = 2;
/** Time for which a leaving instance serves after its bound has passed. */
const LEFT_OBSERVATION_MS = 4_000;
const DOWNTIME_MS = 1_000;

/**
 * Applies a return of the store after which some write and read late. Returns
 * false if the store is away already or the instance is gone.
 */
export async function applyLateReturn(
  cluster: SoakCluster,
  action: LateReturn,
  durationMs: number,
): Promise<boolean> {
  const { platform, history } = cluster;
  const { store } = platform.storeServer;
  const server = platform.find(action.instance);
  if (!server.isAlive || server.isLeaving || server.isUnlisted) return false;
  const copy = store.copy();
  for (let change = 0; change < LOST_CHANGES; change++) cluster.changeRoute();
  await sleep(action.ageMs - action.leaveBeforeMs);
  if (!server.isAlive || server.isLeaving) return false;
  leave(cluster, action);
  await sleep(action.leaveBeforeMs);
  if (store.faults.isOut !== true) {
    const end = history.beginFault({ kind: "store" }, "return");
    store.faults = { isOut: true };
    await sleep(Math.min(durationMs, MAX_AWAY_MS));
    platform.storeServer.returnFrom(copy);
    const late = delayProcess(cluster, action);
    store.faults = {};
    end();
    await sleep(action.rewriteAfterMs);
    rewrite(cluster, action);
    await observeLeft(cluster, server, action);
    await late;
  }
  if (server.isAlive) await restartLeft(cluster, action.instance);
  return true;
}

function leave(
  { platform }: SoakCluster,
  { instance, isUnlisted }: LateReturn,
): void {
  platform.find(instance).tellsLeaving = false;
  if (isUnlisted) platform.unlist(instance);
  else platform.announceLeaving(instance);
}

/** Cuts a process off from the store for a time, if its link is sound. */
async function delayProcess(
  { processes, history }: SoakCluster,
  { lateProcess: name, lateMs }: LateReturn,
): Promise<void> {
  const link = processes.get(name)?.store;
  if (link === undefined || link.fault !== undefined) return;
  const end = history.beginFault({ kind: "store-link", name }, "reset");
  link.setFault("reset");
  await sleep(lateMs);
  link.setFault(undefined);
  end();
}

function rewrite(
  cluster: SoakCluster,
  { idleRoutes, deletesRecords }: LateReturn,
): void {
  cluster.idleRoutes = idleRoutes;
  cluster.rewriteStore();
  cluster.changeRoute();
  if (deletesRecords) cluster.platform.compactTopics();
}

/** Records the time in which no request may reach the instance that leaves. */
async function observeLeft(
  { history }: SoakCluster,
  server: FakeHttpInstance,
  { isUnlisted, rewriteAfterMs }: LateReturn,
): Promise<void> {
  // That an entry is missing may be the copy's fault until the store is stable.
  const boundMs = isUnlisted
    ? Math.max(bounds.drainMs, bounds.stableWindowMs - rewriteAfterMs)
    : bounds.drainMs;
  await sleep(boundMs);
  if (!server.isAlive) return;
  const end = history.beginState(history.drainedPeriods, server.id);
  await awaitEndOfLife(server, LEFT_OBSERVATION_MS);
  end();
}

async function restartLeft(
  { platform, history }: SoakCluster,
  instance: string,
): Promise<void> {
  const end = history.beginFault({ kind: "instance", name: instance }, "leave");
  platform.kill(instance);
  await sleep(DOWNTIME_MS);
  const isFromHere = await platform.restart(instance, bounds.coldStartMs);
  end();
  if (!isFromHere) return;
  const endCold = history.beginState(history.coldPeriods, instance);
  await sleep(bounds.coldStartMs);
  endCold();
}
