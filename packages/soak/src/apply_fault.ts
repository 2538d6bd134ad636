import type { LoopbackProxy } from "@celerytray/fakes";
import { setTimeout as sleep } from "node:timers/promises";
import { awaitEndOfLife } from "./await_end_of_life.ts";
import { bounds } from "./bounds.ts";
import { applyCutLinks } from "./cut_links.ts";
import { applyJoinedAnswers } from "./joined_answers.ts";
import { applyLateReturn, MAX_AWAY_MS } from "./late_return.ts";
import { fillHeads } from "./full_heads.ts";
import type { FaultAction } from "./fault_action.ts";
import type { PlannedFault } from "./planned_fault.ts";
import {
  keepOneReplica,
  silence,
  slowStreams,
  slowWork,
} from "./instance_states.ts";
import type { SoakCallers } from "./soak_callers.ts";
import type { SoakCluster } from "./soak_cluster.ts";

type ActionOf<Kind extends FaultAction["kind"]> = FaultAction & {
  readonly kind: Kind;
};

const STORE_DELAY_MS = 400;
const REFUSED_ONE_IN = 3;
/** Time until the instance list shows that an instance has become cold. */
const COLD_DETECTION_MS = 1_000;
const MIN_DOWNTIME_MS = 1_000;
/** Makes a fault's duration a moment of a start. */
const START_SHARE = 12;

/**
 * Injects a fault and waits for its end. Returns false if it can't be injected
 * because another fault affects the same target.
 */
export async function applyFault(
  cluster: SoakCluster,
  { action, durationMs }: PlannedFault,
  callers: SoakCallers,
): Promise<boolean> {
  switch (action.kind) {
    case "terminate":
    case "kill":
    case "pause":
      return await applyToProcess(cluster, action, durationMs);
    case "link":
      return await applyToLink(cluster, action, durationMs);
    case "store":
      return await applyToStore(cluster, action, durationMs);
    case "withdraw":
      cluster.withdrawKey(action.key);
      return true;
    case "config":
      cluster.publishConfig();
      return true;
    case "die":
    case "leave":
    case "cool":
      return await applyToInstance(cluster, action, durationMs);
    case "evacuate":
      return await evacuate(cluster, action.zone, durationMs);
    case "limit":
      return await limitRequests(cluster, action, durationMs);
    case "poison":
      await callers.poison(cluster, { part: action.part, durationMs });
      return true;
    case "deadly-request":
      await callers.repeatDeadly(cluster, { body: action.body, durationMs });
      return true;
    case "reload":
    case "reload-start":
      return await reload(cluster, action, durationMs);
    case "return":
      return await returnStore(cluster, action.ageMs, durationMs);
    case "late-return":
      return await applyLateReturn(cluster, action, durationMs);
    case "joined-answers":
      await applyJoinedAnswers(cluster, action, durationMs);
      return true;
    case "route":
      cluster.changeRoute();
      return true;
    case "slow-work":
      return await slowWork(cluster, action.workMs, durationMs);
    case "cut-links":
      return await applyCutLinks(cluster, action, { durationMs, callers });
    case "silent-instance":
      return await silence(cluster, action.instance, durationMs);
    case "full-heads":
      await fillHeads(cluster, action, { durationMs, callers });
      return true;
    case "one-replica":
      return await keepOneReplica(cluster, action.instances, durationMs);
    case "slow-streams":
      return await slowStreams(cluster, action.pauseMs, durationMs);
    case "burst":
      await callers.burst(cluster, durationMs);
      return true;
  }
}

async function applyToProcess(
  cluster: SoakCluster,
  { kind, process: name }: ActionOf<"terminate" | "kill" | "pause">,
  durationMs: number,
): Promise<boolean> {
  const process = cluster.processes.get(name);
  if (process === undefined || !process.isRunning) return false;
  if (kind === "terminate") await process.terminate();
  else if (kind === "kill") await process.kill(durationMs);
  else await process.pause(durationMs);
  return true;
}

async function reload(
  cluster: SoakCluster,
  { kind, process: name }: ActionOf<"reload" | "reload-start">,
  durationMs: number,
): Promise<boolean> {
  const process = cluster.processes.get(name);
  if (process === undefined || !process.isRunning) return false;
  if (kind === "reload") process.reload();
  else await process.reloadDuringStart(durationMs / START_SHARE);
  return true;
}

/**
 * The store goes away for a time and comes back from an older copy; the operator
 * and the instances write anew what they had written.
 */
async function returnStore(
  cluster: SoakCluster,
  ageMs: number,
  durationMs: number,
): Promise<boolean> {
  const { platform: { storeServer }, history } = cluster;
  const copy = storeServer.store.copy();
  await sleep(ageMs);
  if (storeServer.store.faults.isOut === true) return false;
  const end = history.beginFault({ kind: "store" }, "return");
  storeServer.store.faults = { isOut: true };
  await sleep(Math.min(durationMs, MAX_AWAY_MS));
  storeServer.returnFrom(copy);
  storeServer.store.faults = {};
  cluster.rewriteStore();
  end();
  return true;
}

async function applyToLink(
  cluster: SoakCluster,
  { endpoint, name, fault }: ActionOf<"link">,
  durationMs: number,
): Promise<boolean> {
  const proxy = findProxy(cluster, endpoint, name);
  if (proxy === undefined || proxy.fault !== undefined) return false;
  const kind = endpoint === "store" ? "store-link" : endpoint;
  const end = cluster.history.beginFault({ kind, name }, fault);
  proxy.setFault(fault);
  await sleep(durationMs);
  proxy.setFault(undefined);
  end();
  return true;
}

function findProxy(
  cluster: SoakCluster,
  endpoint: ActionOf<"link">["endpoint"],
  name: string,
): LoopbackProxy | undefined {
  if (endpoint === "instance") return cluster.instanceProxies.get(name);
  return cluster.processes.get(name)?.[endpoint];
}

async function applyToStore(
  { platform, history }: SoakCluster,
  { fault }: ActionOf<"store">,
  durationMs: number,
): Promise<boolean> {
  const { storeServer } = platform;
  if (fault === "forgets-history") {
    platform.compactTopics();
    return true;
  }
  const isFaulty = storeServer.store.faults.isOut === true ||
    Object.keys(storeServer.faults).length > 0;
  if (isFaulty) return false;
  const end = history.beginFault({ kind: "store" }, fault);
  if (fault === "out") storeServer.store.faults = { isOut: true };
  else storeServer.faults = STORE_FAULTS[fault];
  await sleep(durationMs);
  storeServer.store.faults = {};
  storeServer.faults = {};
  end();
  return true;
}

const STORE_FAULTS = {
  "slow": { delayMs: STORE_DELAY_MS },
  "loses-answers": { losesAnswers: true },
  "refuses-some": { refusesOneIn: REFUSED_ONE_IN },
} as const;

async function applyToInstance(
  cluster: SoakCluster,
  { kind, instance: id }: ActionOf<"die" | "leave" | "cool">,
  durationMs: number,
): Promise<boolean> {
  const { platform, history } = cluster;
  const server = platform.find(id);
  if (!server.isAlive || server.isLeaving) return false;
  if (kind === "cool") {
    platform.makeCold(id, bounds.coldStartMs);
    await sleep(COLD_DETECTION_MS);
    await recordCold(cluster, id, bounds.coldStartMs - COLD_DETECTION_MS);
    return true;
  }
  if (kind === "leave") {
    platform.announceLeaving(id);
    const endLeave = history.beginState(history.leavePeriods, id);
    await awaitEndOfLife(server, durationMs);
    endLeave();
  }
  const end = history.beginFault({ kind: "instance", name: id }, kind);
  if (server.isAlive) platform.kill(id);
  await sleep(
    kind === "die" ? Math.max(durationMs, MIN_DOWNTIME_MS) : MIN_DOWNTIME_MS,
  );
  const isFromHere = await platform.restart(id, bounds.coldStartMs);
  end();
  // A life that began earlier, after a crash, is no longer cold as long.
  if (isFromHere) await recordCold(cluster, id, bounds.coldStartMs);
  return true;
}

async function limitRequests(
  { platform, history }: SoakCluster,
  { instance: id, perSecond }: ActionOf<"limit">,
  durationMs: number,
): Promise<boolean> {
  const server = platform.find(id);
  if (!server.isAlive || server.limitPerSecond !== undefined) return false;
  server.limitPerSecond = perSecond;
  const end = history.beginLimit(id, perSecond);
  await awaitEndOfLife(server, durationMs);
  end();
  server.limitPerSecond = undefined;
  return true;
}

async function recordCold(
  { history }: SoakCluster,
  id: string,
  durationMs: number,
) {
  const end = history.beginState(history.coldPeriods, id);
  await sleep(durationMs);
  end();
}

async function evacuate(
  { platform, history }: SoakCluster,
  zone: string,
  durationMs: number,
): Promise<boolean> {
  const isEvacuated = history.evacuations.some(({ name, toMs }) =>
    name === zone && toMs === Number.POSITIVE_INFINITY
  );
  if (isEvacuated) return false;
  platform.evacuate(zone);
  const end = history.beginState(history.evacuations, zone);
  await sleep(durationMs);
  end();
  platform.restore(zone);
  return true;
}
