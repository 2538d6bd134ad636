import { build, type Histogram } from "hdr-histogram-js";
import { spawn } from "node:child_process";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { runClaimWriter, type WriterReport } from "./claim_writer.ts";

/** One load on a log of its own. */
export interface ClaimLoad {
  readonly writerCount: number;
  readonly partitionCount: number;
  /** Over all writers. */
  readonly callsPerSecond: number;
  /** Over all writers. */
  readonly appendsPerSecond: number;
  readonly durationMs: number;
  /** Outage of the log, from the start of the load. */
  readonly outage?: { readonly afterMs: number; readonly lastsMs: number };
}

/** What came of a load. */
export interface ClaimLoadResult {
  readonly grantedPerSecond: number;
  readonly latencyMs: Histogram;
  readonly refusedAfterMs: readonly number[];
  readonly replayedCount: number;
  readonly doubleRunCount: number;
  readonly otherFailures: Readonly<Record<string, number>>;
}

const LOG_APPENDS_PER_SECOND = 300;
const START_DELAY_MS = 1_500;
const SHARED_EVERY = 50;
const LOG_MAIN = fileURLToPath(
  new URL("main.js", import.meta.resolve("@celerytray/fakes")),
);

/** Runs a load with real processes on loopback. */
export async function runClaimLoad(load: ClaimLoad): Promise<ClaimLoadResult> {
  const address = await findFreeAddress();
  const logUrl = `http://${address}`;
  const log = spawn(process.execPath, [LOG_MAIN, "log", "--address", address], {
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
          sharedEvery: SHARED_EVERY,
          durationMs: load.durationMs,
        }),
    );
    const outage = breakLog(logUrl, { load, startAtMs });
    const reports = await Promise.all(writers);
    await outage;
    return summarise(reports, { load, startAtMs });
  } finally {
    log.kill("SIGKILL");
  }
}

interface Started {
  readonly load: ClaimLoad;
  readonly startAtMs: number;
}

async function breakLog(logUrl: string, started: Started): Promise<void> {
  const { outage } = started.load;
  if (outage === undefined) return;
  await sleep(started.startAtMs + outage.afterMs - Date.now());
  await setFaults(logUrl, { isOut: true });
  await sleep(outage.lastsMs);
  await setFaults(logUrl, {});
}

function summarise(
  reports: readonly WriterReport[],
  { load, startAtMs }: Started,
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
    const answer = await fetch(`${logUrl}/faults`, { method: "POST", body })
      .catch(() => undefined);
    if (answer?.ok === true) return;
    await sleep(50);
  }
  throw new Error("The log stand-in does not answer");
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
