import { FakePlatform } from "@celerytray/fakes";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after } from "node:test";
import { fileURLToPath } from "node:url";
import { findFreeAddresses } from "./free_addresses.ts";
import { waitUntil } from "./wait_until.ts";

const PROGRAM = fileURLToPath(new URL("../host_main.js", import.meta.url));
export const WAIT = { timeoutMs: 20_000 };
const GRACE_S = 4;
const MODEL = "m0";
const KEY = "key-1";
export const CONFIG = {
  version: 1,
  routes: [{
    name: "drafts",
    host: "a.example",
    path_prefix: "/drafts/",
    kind: "streaming",
    resumable: true,
    max_attempts: 2,
    timeout_ms: 8_000,
    target_latency_ms: 400,
    service: "drafts",
  }],
  services: [{
    name: "drafts",
    engine: {
      slots: 8,
      loads_per_s: 50,
      loads_at_once: 8,
      models: [{ name: MODEL, size: 2, load_s: 0.2, warm_s: 0.1 }],
    },
  }],
  tenants: [{ name: "o", api_keys: [KEY] }],
};
export const WHOLE_STREAM = [0, 1, 2, 3, 4].map((id) =>
  `id: ${id}\ndata: ${id}\n\n`
)
  .join("");
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
  platform.publishConfig(CONFIG);
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

export interface StreamAnswer {
  readonly status: number;
  readonly body: string;
}

export function callStream(
  address: string,
  callId: string,
): Promise<StreamAnswer> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const sent = request({
      host,
      port: Number(port),
      path: "/drafts/x",
      method: "POST",
      agent: false,
      headers: {
        host: "a.example",
        "attempt-id": callId,
        "deadline-ms": "8000",
        "x-api-key": KEY,
        model: MODEL,
      },
    }, (response) => {
      let body = "";
      response.on("data", (chunk) => body += String(chunk));
      response.on("error", () => {});
      response.on(
        "close",
        () => resolve({ status: response.statusCode ?? 0, body }),
      );
    });
    sent.on("error", reject);
    sent.end("prompt");
  });
}
