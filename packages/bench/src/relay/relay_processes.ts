import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import type { RelayLoad, RelayReport, RelayStart } from "./relay_messages.ts";

/** A process of the relay benchmark. */
export interface RelayProcess {
  readonly child: ChildProcess;
  readonly address: string;
}

/** The relays under comparison, one source and the clients. */
export interface RelayProcesses {
  readonly pipe: RelayProcess;
  readonly entry: RelayProcess;
  readonly source: RelayProcess;
  readonly clients: readonly RelayProcess[];
  readonly stop: () => void;
}

const MAIN = fileURLToPath(new URL("relay_process.js", import.meta.url));
const SOURCE_COUNT = 3;
const CLIENT_COUNT = 3;

/** Starts all processes; if one fails to start, stops the others. */
export async function startRelayProcesses(): Promise<RelayProcesses> {
  const children: ChildProcess[] = [];
  const stop = () => children.forEach((child) => child.kill("SIGTERM"));
  const start = async (options: RelayStart): Promise<RelayProcess> => {
    const child = fork(MAIN, [JSON.stringify(options)]);
    children.push(child);
    const [address] = await once(child, "message") as [string];
    return { child, address };
  };
  const startMany = (count: number, options: RelayStart) =>
    Promise.all(Array.from({ length: count }, () => start(options)));
  try {
    const started = await startMany(SOURCE_COUNT, { role: "source" });
    const sources = started.map(({ address }) => address);
    const pipe = await start({ role: "pipe", sources });
    const entry = await start({ role: "entry", sources });
    const clients = await startMany(CLIENT_COUNT, { role: "client" });
    return { pipe, entry, source: started[0]!, clients, stop };
  } catch (error) {
    stop();
    throw error;
  }
}

/** Sends the load from each client; resolves to one report for each. */
export function runLoad(
  clients: readonly RelayProcess[],
  load: RelayLoad,
): Promise<RelayReport[]> {
  return Promise.all(clients.map(async ({ child }) => {
    child.send(load);
    const [report] = await once(child, "message") as [RelayReport];
    return report;
  }));
}

/** Returns the CPU time that a process has used so far, in microseconds. */
export async function readCpuUs({ child }: RelayProcess): Promise<number> {
  child.send("cpu");
  const [usage] = await once(child, "message") as [NodeJS.CpuUsage];
  return usage.user + usage.system;
}
