import { callStream, FakePlatform, STREAM_CONFIG } from "@celerytray/fakes";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after } from "node:test";
import { fileURLToPath } from "node:url";
import { findFreeAddresses } from "./free_addresses.ts";
import { waitUntil } from "./wait_until.ts";

const PROGRAM = fileURLToPath(new URL("../host_main.js", import.meta.url));
export const WAIT = { timeoutMs: 20_000 };
const GRACE_S = 4;
const closers: (() => unknown)[] = [];
/** What the processes of all tests have logged. */
export const logs: (() => string)[] = [];

after(async () => {
  for (const close of closers.reverse()) await close();
});

export interface HostProcess {
  readonly child: ChildProcess;
  readonly address: string;
  readonly readyAddress: string;
  readonly metricsAddress: string;
}

/** Replicas of five instances of a domain. */
const DOMAIN_REPLICAS = 2;

/** Two processes and five instances of each domain, ready to serve. */
export async function startWorld(domains: readonly string[] = ["d0"]) {
  const platform = new FakePlatform();
  closers.push(() => platform.stop());
  const storeAddress = await platform.start();
  platform.publishConfig(STREAM_CONFIG);
  for (const domain of domains) {
    for (let index = 0; index < 5; index++) {
      await platform.startInstance(`i-${domain}-${index}`, domain);
    }
  }
  const processes = [
    await startProcess("front-1", storeAddress),
    await startProcess("front-2", storeAddress),
  ];
  await waitUntil("the replicas to serve and the processes to be ready", {
    ...WAIT,
    check: async () => {
      const statuses = await Promise.all(
        processes.map(({ address }) => callStream(address, "call-0")),
      );
      return platform.listServing().length ===
          domains.length * DOMAIN_REPLICAS &&
        statuses.every(({ status }) => status === 200);
    },
  });
  return { platform, storeAddress, processes };
}

export async function startProcess(
  nodeId: string,
  storeAddress: string,
): Promise<HostProcess> {
  const [address, readyAddress, peerAddress, metricsAddress] =
    await findFreeAddresses(4);
  const [host] = address!.split(":");
  const portOf = (from: string | undefined) => from!.split(":")[1];
  const folder = await mkdtemp(join(tmpdir(), "celerytray-host-"));
  closers.push(() => rm(folder, { recursive: true }));
  const path = join(folder, "settings.conf");
  const settings = {
    node_name: nodeId,
    zone: "zone-a",
    ip: host,
    "listen.front": address,
    "listen.ready": readyAddress,
    internal_ports: `${portOf(peerAddress)},${portOf(metricsAddress)}`,
    "platform.address": storeAddress,
    "bounds.grace_s": GRACE_S,
    "bounds.revoke_ms": 5_000,
  };
  await writeFile(
    path,
    Object.entries(settings).map(([name, value]) => `${name}=${value}\n`),
  );
  const child = spawn(process.execPath, [PROGRAM], {
    env: { ...process.env, CELERYTRAY_BOOT: path },
    stdio: ["ignore", "pipe", "inherit"],
  });
  closers.push(() => child.kill("SIGKILL"));
  let log = "";
  child.stdout.setEncoding("utf8").on("data", (text) => log += text);
  logs.push(() => log);
  return {
    child,
    address: address!,
    readyAddress: readyAddress!,
    metricsAddress: metricsAddress!,
  };
}

/** Processes that decide on replicas. */
export async function findLeads(
  processes: readonly HostProcess[],
): Promise<readonly HostProcess[]> {
  const leads: HostProcess[] = [];
  for (const candidate of processes) {
    const page = await fetch(`http://${candidate.metricsAddress}/metrics`);
    const text = await page.text();
    if (text.includes("celerytray_leads_replicas 1")) leads.push(candidate);
  }
  return leads;
}
