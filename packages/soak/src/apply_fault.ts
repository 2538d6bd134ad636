import { setTimeout as sleep } from "node:timers/promises";
import { bounds } from "./checks.ts";
import type { LoopbackProxy } from "./loopback_proxy.ts";
import type { FaultAction, PlannedFault } from "./plan.ts";
import type { SoakCallers } from "./soak_callers.ts";
import type { SoakWorld } from "./soak_world.ts";

type Of<Kind extends FaultAction["kind"]> = FaultAction & {
  readonly kind: Kind;
};

const SLOW_STORE_MS = 400;
const REFUSED_ONE_IN = 3;
/** Time in which the list tells of an instance that has turned cold. */
const COLD_NOTICE_MS = 1_000;
const MIN_DOWN_MS = 1_000;

/**
 * Brings about a fault and waits for its end. Returns false where it can't be
 * brought about because another one holds the same target.
 */
export async function applyFault(
  world: SoakWorld,
  { action, forMs }: PlannedFault,
  callers: SoakCallers,
): Promise<boolean> {
  switch (action.kind) {
    case "terminate":
    case "kill":
    case "pause":
      return await applyToProcess(world, action, forMs);
    case "link":
      return await applyToLink(world, action, forMs);
    case "store":
      return await applyToStore(world, action, forMs);
    case "withdraw":
      world.withdraw(action.key);
      return true;
    case "config":
      world.publish();
      return true;
    case "die":
    case "leave":
    case "cool":
      return await applyToInstance(world, action, forMs);
    case "evacuate":
      return await evacuate(world, action.zone, forMs);
    case "burst":
      await callers.burst(world, forMs);
      return true;
  }
}

async function applyToProcess(
  world: SoakWorld,
  { kind, process: name }: Of<"terminate" | "kill" | "pause">,
  forMs: number,
): Promise<boolean> {
  const process = world.processes.get(name);
  if (process === undefined || !process.isRunning) return false;
  if (kind === "terminate") await process.terminate();
  else if (kind === "kill") await process.kill(forMs);
  else await process.pause(forMs);
  return true;
}

async function applyToLink(
  world: SoakWorld,
  { of, name, fault }: Of<"link">,
  forMs: number,
): Promise<boolean> {
  const proxy = findProxy(world, of, name);
  if (proxy === undefined || proxy.fault !== undefined) return false;
  const kind = of === "store" ? "store-link" : of;
  const end = world.history.disturb({ kind, name }, fault);
  proxy.setFault(fault);
  await sleep(forMs);
  proxy.setFault(undefined);
  end();
  return true;
}

function findProxy(
  world: SoakWorld,
  of: Of<"link">["of"],
  name: string,
): LoopbackProxy | undefined {
  if (of === "instance") return world.instanceProxies.get(name);
  return world.processes.get(name)?.[of];
}

async function applyToStore(
  { platform, history }: SoakWorld,
  { fault }: Of<"store">,
  forMs: number,
): Promise<boolean> {
  const { storeServer } = platform;
  if (fault === "forgets-history") {
    platform.forgetHistory();
    return true;
  }
  const isFaulty = storeServer.store.faults.isOut === true ||
    Object.keys(storeServer.faults).length > 0;
  if (isFaulty) return false;
  const end = history.disturb({ kind: "store" }, fault);
  if (fault === "out") storeServer.store.faults = { isOut: true };
  else storeServer.faults = STORE_FAULTS[fault];
  await sleep(forMs);
  storeServer.store.faults = {};
  storeServer.faults = {};
  end();
  return true;
}

const STORE_FAULTS = {
  "slow": { delayMs: SLOW_STORE_MS },
  "loses-answers": { losesAnswers: true },
  "refuses-some": { refusesOneIn: REFUSED_ONE_IN },
} as const;

async function applyToInstance(
  world: SoakWorld,
  { kind, instance: id }: Of<"die" | "leave" | "cool">,
  forMs: number,
): Promise<boolean> {
  const { platform, history } = world;
  const server = platform.find(id);
  if (!server.isAlive || server.isLeaving) return false;
  if (kind === "cool") {
    platform.cool(id, bounds.coldStartMs);
    await sleep(COLD_NOTICE_MS);
    await watchCold(world, id, bounds.coldStartMs - COLD_NOTICE_MS);
    return true;
  }
  if (kind === "leave") {
    platform.leave(id);
    const endLeave = history.begin(history.leaves, id);
    await sleep(forMs);
    endLeave();
  }
  const end = history.disturb({ kind: "instance", name: id }, kind);
  platform.kill(id);
  await sleep(kind === "die" ? Math.max(forMs, MIN_DOWN_MS) : MIN_DOWN_MS);
  await platform.restart(id, bounds.coldStartMs);
  end();
  await watchCold(world, id, bounds.coldStartMs);
  return true;
}

async function watchCold({ history }: SoakWorld, id: string, forMs: number) {
  const end = history.begin(history.colds, id);
  await sleep(forMs);
  end();
}

async function evacuate(
  { platform, history }: SoakWorld,
  zone: string,
  forMs: number,
): Promise<boolean> {
  const isEvacuated = history.evacuations.some(({ name, toMs }) =>
    name === zone && toMs === Number.POSITIVE_INFINITY
  );
  if (isEvacuated) return false;
  platform.evacuate(zone);
  const end = history.begin(history.evacuations, zone);
  await sleep(forMs);
  end();
  platform.restore(zone);
  return true;
}
