import { callStream, FakePlatform, STREAM_CONFIG } from "@celerytray/fakes";
import { after } from "node:test";
import { fileURLToPath } from "node:url";
import { type HostProcess, startHostProcess } from "./host_process.ts";
import { waitUntil } from "./wait_until.ts";

export const HOST_PROGRAM = fileURLToPath(
  new URL("../host_main.js", import.meta.url),
);
export const WAIT_OPTIONS = { timeoutMs: 20_000 };
const GRACE_S = 4;
const cleanups: (() => unknown)[] = [];
/** Readers of the logs of all processes that the tests started. */
export const processLogs: (() => string)[] = [];

after(async () => {
  for (const close of cleanups.reverse()) await close();
});

/** Replicas that the five instances of a domain form. */
const REPLICAS_PER_DOMAIN = 2;

/**
 * Starts two processes and five instances in each domain, one zone per domain,
 * and waits until they serve.
 */
export async function startHostCluster(domains: readonly string[] = ["d0"]) {
  const platform = new FakePlatform();
  cleanups.push(() => platform.stop());
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
  await waitUntil("the replicas serve and the processes are ready", {
    ...WAIT_OPTIONS,
    check: async () => {
      const statuses = await Promise.all(
        processes.map(({ address }) => callStream(address, "call-0")),
      );
      return platform.listServing().length ===
          domains.length * REPLICAS_PER_DOMAIN &&
        statuses.every(({ status }) => status === 200);
    },
  });
  return { platform, storeAddress, processes };
}

/** Starts a process that is stopped after the tests. */
export async function startProcess(
  nodeId: string,
  storeAddress: string,
): Promise<HostProcess> {
  const started = await startHostProcess({
    nodeId,
    storeAddress,
    program: HOST_PROGRAM,
    settings: { "bounds.grace_s": GRACE_S, "bounds.revoke_ms": 5_000 },
  });
  cleanups.push(started.remove);
  processLogs.push(started.log);
  return started;
}

/** Processes that are the leader according to their metrics. */
export async function findLeaders(
  processes: readonly HostProcess[],
): Promise<readonly HostProcess[]> {
  const leaders: HostProcess[] = [];
  for (const candidate of processes) {
    const page = await fetch(`http://${candidate.metricsAddress}/metrics`);
    const text = await page.text();
    // The help line of the gauge contains its name and a 1, too.
    if (/^celerytray_leads_replicas 1$/m.test(text)) leaders.push(candidate);
  }
  return leaders;
}
