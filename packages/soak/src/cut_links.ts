import { setTimeout as sleep } from "node:timers/promises";
import type { CutLinks } from "./fault_action.ts";
import type { SoakCallers } from "./soak_callers.ts";
import type { SoakCluster } from "./soak_cluster.ts";
import type { SoakProcess } from "./soak_process.ts";

/** Cuts the links of running processes; returns false if it can't. */
export async function applyCutLinks(
  cluster: SoakCluster,
  { processes: names, mode }: CutLinks,
  { durationMs, callers }: {
    readonly durationMs: number;
    readonly callers: SoakCallers;
  },
): Promise<boolean> {
  const { history, cuts } = cluster;
  const processes = names === "leader"
    ? await findLeaders(cluster)
    : names.flatMap((name) => cluster.processes.get(name) ?? []);
  const isCut = history.cuts.some(({ toMs }) => !Number.isFinite(toMs));
  if (isCut || !canBeCut(processes)) return false;
  const end = history.beginCut(processes.map(({ name }) => name), mode);
  cuts.cut(processes.map(({ pid }) => pid!), mode);
  const calling = callers.sendSteadily(cluster, durationMs);
  await sleep(durationMs);
  cuts.end();
  end();
  await calling;
  return true;
}

function canBeCut(processes: readonly SoakProcess[]): boolean {
  return processes.length > 0 && processes.every(({ isRunning }) => isRunning);
}

async function findLeaders(
  { processes }: SoakCluster,
): Promise<readonly SoakProcess[]> {
  const leaders: SoakProcess[] = [];
  for (const process of processes.values()) {
    if (process.isRunning && await process.leads()) leaders.push(process);
  }
  return leaders;
}
