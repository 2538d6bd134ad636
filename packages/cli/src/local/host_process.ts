import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findFreeAddresses } from "./free_addresses.ts";

/** A running process of the host program. */
export interface HostProcess {
  readonly child: ChildProcess;
  readonly address: string;
  readonly readyAddress: string;
  readonly metricsAddress: string;
  /** All four addresses, for a process that replaces this one. */
  readonly addresses: readonly string[];
  /** Standard output so far, which holds the structured log. */
  readonly log: () => string;
  /** Kills the process if it still runs and removes its settings. */
  readonly remove: () => Promise<void>;
}

/** Options of a host process. */
export interface HostProcessOptions {
  readonly nodeId: string;
  readonly storeAddress: string;
  /** Path of the main module of the host program. */
  readonly program: string;
  readonly zone?: string;
  /** Additional settings, by name. */
  readonly settings?: Readonly<Record<string, string | number>>;
  readonly environment?: Readonly<Record<string, string>>;
  /** Addresses of the process that this one replaces; free ones if absent. */
  readonly addresses?: readonly string[];
}

const ADDRESS_COUNT = 4;

/** Starts a host process with its own settings file. */
export async function startHostProcess(
  options: HostProcessOptions,
): Promise<HostProcess> {
  const addresses = options.addresses ??
    await findFreeAddresses(ADDRESS_COUNT);
  const folder = await mkdtemp(join(tmpdir(), "celerytray-host-"));
  const path = join(folder, "settings.conf");
  await writeFile(path, encodeSettings(options, addresses));
  const child = spawn(process.execPath, [options.program], {
    env: { ...process.env, ...options.environment, CELERYTRAY_BOOT: path },
    stdio: ["ignore", "pipe", "inherit"],
  });
  const killChild = () => child.kill("SIGKILL");
  process.once("exit", killChild);
  child.once("exit", () => process.off("exit", killChild));
  let log = "";
  child.stdout.setEncoding("utf8").on("data", (text) => log += text);
  return {
    child,
    addresses,
    address: addresses[0]!,
    readyAddress: addresses[1]!,
    metricsAddress: addresses[3]!,
    log: () => log,
    remove: async () => {
      child.kill("SIGKILL");
      await rm(folder, { recursive: true });
    },
  };
}

function encodeSettings(
  options: HostProcessOptions,
  addresses: readonly string[],
): string {
  const [address, readyAddress, peerAddress, metricsAddress] = addresses;
  const portOf = (from: string | undefined) => from!.split(":")[1];
  const settings = {
    node_name: options.nodeId,
    zone: options.zone ?? "zone-a",
    ip: address!.split(":")[0],
    "listen.front": address,
    "listen.ready": readyAddress,
    internal_ports: `${portOf(peerAddress)},${portOf(metricsAddress)}`,
    "platform.address": options.storeAddress,
    ...options.settings,
  };
  return Object.entries(settings).map(([name, value]) => `${name}=${value}\n`)
    .join("");
}
