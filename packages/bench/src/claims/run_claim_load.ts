import { build, type Histogram } from "hdr-histogram-js";
import { spawn } from "node:child_process";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { runClaimWriter, type WriterReport } from "./claim_writer.ts";

/** A load of claims, run on its own log. */
export interface ClaimLoad {
  readonly writerCount: number;
  readonly partitionCount: number;
  /** Sum over all writers. */
  readonly callsPerSecond: number;
  /** Sum over all writers. */
  readonly appendsPerSecond: number;
  readonly durationMs: number;
  /** Outage of the log, timed from the start of the load. */
  readonly outage?: {
    readonly startsAfterMs: number;
    readonly durationMs: number;
  };
}

/** Results of a load. */
export interface ClaimLoadResult {
  readonly grantedPerSecond: number;
  readonly latencyMs: Histogram;
  /** Start of each refused call, from the start of the load. */
  readonly refusedAfterMs: readonly number[];
  readonly replayedCount: number;
  /** Grants of keys that had been granted before. */
  readonly doubleRunCount: number;
  readonly otherFailures: Readonly<Record<string, number>>;
}

const LOG_APPENDS_PER_SECOND = 300;
const START_DELAY_MS = 1_500;
const SHARED_KEY_INTERVAL_CALLS = 50;
const FAKES_SCRIPT = fileURLToPath(
  new URL("main.js", import.meta.resolve("@celerytray/fakes")),
);

/** Runs a load with one process per writer and a log process on loopback. */
export async function runClaimLoad(load: ClaimLoad): Promise<ClaimLoadResult> {
  const address = await findFreeAddress();
  const logUrl = `http://${address}`;
  const log = spawn(process.execPath, [
    FAKES_SCRIPT,
    "log",
    "--address",
    address,
  ], {
    stdio: "ignore",
  });
  try {
    await setFaults(logUrl, {});
    const startAtMs = Date.now() + START_DELAY_MS;
    const writers = Array.from(
      { length: load.writerCount },
      (_, index) =>
        runClaimWriter({
          index,
          logUrl,
          startAtMs,
          partitionCount: load.partitionCount,
          appendsPerSecond: load.appendsPerSecond / load.writerCount,
          callsPerSecond: load.callsPerSecond / load.writerCount,
          sharedEvery: SHARED_KEY_INTERVAL_CALLS,
          durationMs: load.durationMs,
        }),
    );
    const outage = injectOutage(logUrl, { load, startAtMs });
    const reports = await Promise.all(writers);
    await outage;
    return summarise(reports, { load, startAtMs });
  } finally {
    log.kill("SIGKILL");
  }
}

interface ScheduledLoad {
  readonly load: ClaimLoad;
  readonly startAtMs: number;
}

async function injectOutage(
  logUrl: string,
  scheduledLoad: ScheduledLoad,
): Promise<void> {
  const { outage } = scheduledLoad.load;
  if (outage === undefined) return;
  await sleep(scheduledLoad.startAtMs + outage.startsAfterMs - Date.now());
  await setFaults(logUrl, { isOut: true });
  await sleep(outage.durationMs);
  await setFaults(logUrl, {});
}

function summarise(
  reports: readonly WriterReport[],
  { load, startAtMs }: ScheduledLoad,
): ClaimLoadResult {
  const latencyMs = build({ numberOfSignificantValueDigits: 3 });
  const keys = new Set<string>();
  let grantedCount = 0;
  let replayedCount = 0;
  const otherFailures: Record<string, number> = {};
  for (const report of reports) {
    for (const value of report.latenciesMs) latencyMs.recordValue(value);
    for (const key of report.granted) keys.add(key);
    grantedCount += report.granted.length;
    replayedCount += report.replayedCount;
    for (const [tag, count] of Object.entries(report.otherFailures)) {
      otherFailures[tag] = (otherFailures[tag] ?? 0) + count;
    }
  }
  return {
    latencyMs,
    replayedCount,
    otherFailures,
    grantedPerSecond: grantedCount / load.durationMs * 1_000,
    doubleRunCount: grantedCount - keys.size,
    refusedAfterMs: reports.flatMap(({ refusedAtMs }) =>
      refusedAtMs.map((atMs) => atMs - startAtMs)
    ),
  };
}

async function setFaults(logUrl: string, faults: object): Promise<void> {
  const body = JSON.stringify({
    maxAppendsPerSecond: LOG_APPENDS_PER_SECOND,
    ...faults,
  });
  for (let attempt = 0; attempt < 100; attempt++) {
    const response = await fetch(`${logUrl}/faults`, { method: "POST", body })
      .catch(() => undefined);
    if (response?.ok === true) return;
    await sleep(50);
  }
  throw new Error(
    "The fake log service did not accept fault settings in 100 attempts at 50 ms intervals; check that it can listen on its port",
  );
}

function findFreeAddress(): Promise<string> {
  const server = createServer();
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(`127.0.0.1:${port}`));
    })
  );
}
