import { build, type Histogram } from "hdr-histogram-js";
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import type { Bench, BenchResult } from "../benches.ts";
import type { RelayLoad, RelayReport, RelayStart } from "./relay_messages.ts";

const MAIN = fileURLToPath(new URL("relay_process.js", import.meta.url));
const SOURCE_COUNT = 3;
const CLIENT_COUNT = 3;
const ROUNDS = 3;
const WARM_UP_REQUESTS = 200;
const US_PER_SECOND = 1_000_000;
const MIN_SHARE_OF_PIPE = 0.7;
const LATENCY_REQUESTS = 1_000;
const LOADS = [
  { name: "300 tokens", tokenCount: 300, requestCount: 200, concurrency: 32 },
  { name: "1 token", tokenCount: 1, requestCount: 2_000, concurrency: 32 },
];

/** Measures the data plane against a bare pipe, both over real sockets. */
export const relayBench: Bench = {
  name: "relay",
  description: "throughput and added latency against a bare Node http pipe",
  run: runRelayBench,
};

async function runRelayBench(): Promise<BenchResult> {
  const children: ChildProcess[] = [];
  const start = async (options: RelayStart): Promise<RelayProcess> => {
    const child = fork(MAIN, [JSON.stringify(options)]);
    children.push(child);
    const [address] = await once(child, "message") as [string];
    return { child, address };
  };
  try {
    const sources = await startMany(
      SOURCE_COUNT,
      () => start({ role: "source" }),
    );
    const addresses = sources.map(({ address }) => address);
    const pipe = await start({ role: "pipe", sources: addresses });
    const entry = await start({ role: "entry", sources: addresses });
    const clients = await startMany(
      CLIENT_COUNT,
      () => start({ role: "client" }),
    );
    return await measure({ pipe, entry, clients, source: sources[0]! });
  } finally {
    for (const child of children) child.kill("SIGTERM");
  }
}

interface RelayProcess {
  readonly child: ChildProcess;
  readonly address: string;
}

interface RelayProcesses {
  readonly pipe: RelayProcess;
  readonly entry: RelayProcess;
  readonly source: RelayProcess;
  readonly clients: readonly RelayProcess[];
}

async function startMany(
  count: number,
  start: () => Promise<RelayProcess>,
): Promise<RelayProcess[]> {
  return await Promise.all(Array.from({ length: count }, start));
}

async function measure(processes: RelayProcesses): Promise<BenchResult> {
  const { pipe, entry, clients } = processes;
  const rows: BenchResult["rows"][number][] = [];
  const targets: BenchResult["targets"][number][] = [];
  for (const { name, ...load } of LOADS) {
    const totals = { pipe: createTotal(), entry: createTotal() };
    for (const { address } of [pipe, entry]) {
      await runLoad(clients, {
        ...load,
        address,
        requestCount: WARM_UP_REQUESTS,
      });
    }
    for (let round = 0; round < ROUNDS; round++) {
      for (const kind of ["pipe", "entry"] as const) {
        await runRound(processes[kind], { clients, load, total: totals[kind] });
      }
    }
    for (const kind of ["pipe", "entry"] as const) {
      rows.push(describeTotal(totals[kind], { kind, load: name, ...load }));
    }
    const share = ratePerSecond(totals.entry) / ratePerSecond(totals.pipe);
    targets.push({
      target: `${name}: at least ${MIN_SHARE_OF_PIPE} of the pipe's requests`,
      measured: share.toFixed(3),
      isReached: share >= MIN_SHARE_OF_PIPE,
    });
  }
  rows.push(...await measureLatency(processes));
  return { rows, targets };
}

interface Total {
  requests: number;
  whole: number;
  durationMs: number;
  cpuUs: number;
}

function createTotal(): Total {
  return { requests: 0, whole: 0, durationMs: 0, cpuUs: 0 };
}

function ratePerSecond(total: Total): number {
  return total.requests / total.durationMs * 1_000;
}

interface Round {
  readonly clients: readonly RelayProcess[];
  readonly load: Omit<RelayLoad, "address">;
  readonly total: Total;
}

async function runRound(relay: RelayProcess, round: Round): Promise<void> {
  const { clients, load, total } = round;
  const before = await readCpu(relay);
  const reports = await runLoad(clients, { ...load, address: relay.address });
  total.cpuUs += await readCpu(relay) - before;
  total.requests += load.requestCount * clients.length;
  total.whole += reports.reduce((sum, each) => sum + each.wholeCount, 0);
  total.durationMs += Math.max(...reports.map((each) => each.durationMs));
}

function runLoad(
  clients: readonly RelayProcess[],
  load: RelayLoad,
): Promise<RelayReport[]> {
  return Promise.all(clients.map(async ({ child }) => {
    child.send(load);
    const [report] = await once(child, "message") as [RelayReport];
    return report;
  }));
}

async function readCpu({ child }: RelayProcess): Promise<number> {
  child.send("cpu");
  const [usage] = await once(child, "message") as [NodeJS.CpuUsage];
  return usage.user + usage.system;
}

function describeTotal(
  total: Total,
  options: {
    readonly kind: string;
    readonly load: string;
    readonly tokenCount: number;
  },
): BenchResult["rows"][number] {
  const requestsPerSecond = ratePerSecond(total);
  const cpuSeconds = total.cpuUs / US_PER_SECOND;
  return {
    relay: options.kind,
    load: options.load,
    requestsPerSecond: Math.round(requestsPerSecond),
    tokensPerSecond: Math.round(requestsPerSecond * options.tokenCount),
    cpuShare: Number((cpuSeconds / total.durationMs * 1_000).toFixed(2)),
    tokensPerCpuSecond: Math.round(
      total.requests * options.tokenCount / cpuSeconds,
    ),
    allWhole: total.whole === total.requests,
  };
}

async function measureLatency(
  { source, pipe, entry, clients }: RelayProcesses,
): Promise<BenchResult["rows"][number][]> {
  const measured = { source, pipe, entry };
  const rows: BenchResult["rows"][number][] = [];
  let direct: Histogram | undefined;
  for (const [kind, { address }] of Object.entries(measured)) {
    const [report] = await runLoad(clients.slice(0, 1), {
      address,
      concurrency: 1,
      requestCount: LATENCY_REQUESTS,
      tokenCount: 1,
    });
    const histogram = build();
    for (const us of report!.firstByteUs) histogram.recordValue(us);
    direct ??= histogram;
    rows.push({
      relay: kind === "source" ? "none" : kind,
      load: "one request at a time",
      p50Us: histogram.getValueAtPercentile(50),
      p99Us: histogram.getValueAtPercentile(99),
      addedP50Us: histogram.getValueAtPercentile(50) -
        direct.getValueAtPercentile(50),
      addedP99Us: histogram.getValueAtPercentile(99) -
        direct.getValueAtPercentile(99),
    });
  }
  return rows;
}
