import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findFreeAddresses } from "./free_addresses.ts";

/** A process of the program of a deployment's machines. */
export interface HostProcess {
  readonly child: ChildProcess;
  readonly address: string;
  readonly readyAddress: string;
  readonly metricsAddress: string;
  /** All four addresses, for a process that takes its place. */
  readonly addresses: readonly string[];
  /** What it has logged. */
  readonly log: () => string;
  /** Ends it at once if it runs, and removes its settings. */
  readonly remove: () => Promise<void>;
}

/** How a process is started. */
export interface HostProcessOptions {
  readonly nodeId: string;
  readonly storeAddress: string;
  /** Path of the program's main module. */
  readonly program: string;
  readonly zone?: string;
  /** Further settings, by name. */
  readonly settings?: Readonly<Record<string, string | number>>;
  readonly environment?: Readonly<Record<string, string>>;
  /** Those of the process whose place it takes. */
  readonly addresses?: readonly string[];
}

const ADDRESS_COUNT = 4;

/** Starts the program with a settings file of its own. */
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
  const endChild = () => child.kill("SIGKILL");
  process.once("exit", endChild);
  child.once("exit", () => process.off("exit", endChild));
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
