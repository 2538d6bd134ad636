import { build, type Histogram } from "hdr-histogram-js";
import type { Bench, BenchResult } from "../bench.ts";
import type { RelayLoad } from "./relay_messages.ts";
import {
  readCpuUs,
  type RelayProcess,
  type RelayProcesses,
  runLoad,
  startRelayProcesses,
} from "./relay_processes.ts";

const ROUNDS = 3;
const WARM_UP_REQUESTS = 200;
const US_PER_SECOND = 1_000_000;
const MIN_SHARE_OF_PIPE = 0.7;
const LATENCY_REQUESTS = 1_000;
const LOADS = [
  { name: "300 tokens", tokenCount: 300, requestCount: 200, concurrency: 32 },
  { name: "1 token", tokenCount: 1, requestCount: 2_000, concurrency: 32 },
];

/** Compares the data plane with a plain Node http pipe, both over real sockets. */
export const relayBench: Bench = {
  name: "relay",
  description: "throughput and added latency against a bare Node http pipe",
  run: runRelayBench,
};

async function runRelayBench(): Promise<BenchResult> {
  const processes = await startRelayProcesses();
  try {
    return await measure(processes);
  } finally {
    processes.stop();
  }
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
  complete: number;
  durationMs: number;
  cpuUs: number;
}

function createTotal(): Total {
  return { requests: 0, complete: 0, durationMs: 0, cpuUs: 0 };
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
  const before = await readCpuUs(relay);
  const reports = await runLoad(clients, { ...load, address: relay.address });
  total.cpuUs += await readCpuUs(relay) - before;
  total.requests += load.requestCount * clients.length;
  total.complete += reports.reduce((sum, each) => sum + each.completeCount, 0);
  total.durationMs += Math.max(...reports.map((each) => each.durationMs));
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
    allWhole: total.complete === total.requests,
  };
}

async function measureLatency(
  { source, pipe, entry, clients }: RelayProcesses,
): Promise<BenchResult["rows"][number][]> {
  const measured = { source, pipe, entry };
  const rows: BenchResult["rows"][number][] = [];
  let baseline: Histogram | undefined;
  for (const [kind, { address }] of Object.entries(measured)) {
    const [report] = await runLoad(clients.slice(0, 1), {
      address,
      concurrency: 1,
      requestCount: LATENCY_REQUESTS,
      tokenCount: 1,
    });
    const histogram = build();
    for (const us of report!.firstByteUs) histogram.recordValue(us);
    baseline ??= histogram;
    rows.push({
      relay: kind === "source" ? "none" : kind,
      load: "one request at a time",
      p50Us: histogram.getValueAtPercentile(50),
      p99Us: histogram.getValueAtPercentile(99),
      addedP50Us: histogram.getValueAtPercentile(50) -
        baseline.getValueAtPercentile(50),
      addedP99Us: histogram.getValueAtPercentile(99) -
        baseline.getValueAtPercentile(99),
    });
  }
  return rows;
}
