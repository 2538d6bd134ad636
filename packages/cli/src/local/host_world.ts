import { callStream, FakePlatform, STREAM_CONFIG } from "@celerytray/fakes";
import { after } from "node:test";
import { fileURLToPath } from "node:url";
import { type HostProcess, startHostProcess } from "./host_process.ts";
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

/** Replicas of five instances of a domain. */
const DOMAIN_REPLICAS = 2;

/** Two processes and five instances of each domain in its own zone, ready to serve. */
export async function startWorld(domains: readonly string[] = ["d0"]) {
  const platform = new FakePlatform();
  closers.push(() => platform.stop());
  const storeAddress = await platform.start();
  platform.publishConfig(STREAM_CONFIG);
  for (const domain of domains) {
    for (let index = 0; index < 5; index++) {
      await platform.startInstance(
        `i-${domain}-${index}`,
        domain,
        `zone-${domain}`,
      );
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

/** Starts a process that ends with the tests. */
export async function startProcess(
  nodeId: string,
  storeAddress: string,
): Promise<HostProcess> {
  const started = await startHostProcess({
    nodeId,
    storeAddress,
    program: PROGRAM,
    settings: { "bounds.grace_s": GRACE_S, "bounds.revoke_ms": 5_000 },
  });
  closers.push(started.remove);
  logs.push(started.log);
  return started;
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
