import type {
  CacheEvent,
  ReplicaLoad,
  Router,
  RoutingRequest,
} from "celerytray";
import { SentLog } from "celerytray";
import { BenchRandom, ZipfSampler } from "./bench_random.ts";
import { EventQueue } from "./event_queue.ts";
import { VirtualEngine } from "./virtual_engine.ts";

/** A deployment and its load. */
export interface RoutingScenario {
  readonly name: string;
  readonly replicaCount: number;
  readonly entryCount: number;
  readonly prefixCount: number;
  readonly zoneDelayMs: number;
  readonly hasSharedPrefixes: boolean;
  /** Load as a fraction of the engines' capacity without cached prefixes. */
  readonly load: number;
  readonly warmUpMs: number;
  readonly measuredMs: number;
}

/** The policy under test; each entry instance has its own. */
export interface RoutingPolicy {
  readonly router: Router;
  readonly noteCacheEvent?: (event: CacheEvent) => void;
}

/** Times to the first token and the prefix cache hit rate of a run. */
export interface RoutingRun {
  readonly firstTokenMs: readonly number[];
  readonly prefixHitRate: number;
}

interface LoadView extends ReplicaLoad {
  reportedRequests: number;
  reportedWaiting: number;
  reportedAtMs: number;
}

interface EntryInstance {
  readonly policy: RoutingPolicy;
  readonly availabilityZone: string;
  readonly views: readonly LoadView[];
  readonly sent: SentLog;
}

interface Simulation {
  readonly scenario: RoutingScenario;
  readonly queue: EventQueue;
  readonly random: BenchRandom;
  readonly engines: readonly VirtualEngine[];
  readonly entries: readonly EntryInstance[];
}

const ZONES = ["a", "b", "c"];
const SHARED_BLOCKS = 12;
const OWN_BLOCKS = 2;
const PREFILL_MS_PER_BLOCK = 10;
const TOKEN_INTERVAL_MS = 20;
const MEAN_OUTPUT_TOKENS = 100;
const MAX_RUNNING = 48;
const CACHED_PROMPTS = 8;
const REPORT_INTERVAL_MS = 1_000;
const REPORT_LAG_MS = 250;
const CACHE_EVENT_DELAY_MS = 500;
const CACHE_EVENT_LOSS = 0.1;
const PROMPT_BLOCKS = SHARED_BLOCKS + OWN_BLOCKS;

/** Simulates the load of a scenario under one policy in virtual time. */
export function simulateRouting(
  scenario: RoutingScenario,
  options: {
    readonly seed: number;
    readonly createPolicy: (seed: number) => RoutingPolicy;
  },
): RoutingRun {
  const simulation = createSimulation(scenario, options);
  const firstTokenMs: number[] = [];
  let cachedBlocks = 0;
  const prefixSampler = new ZipfSampler(scenario.prefixCount);
  const capacityPerMs = scenario.replicaCount /
    (PROMPT_BLOCKS * PREFILL_MS_PER_BLOCK);
  const meanInterarrivalMs = 1 / (capacityPerMs * scenario.load);
  let requestCount = 0;
  const endMs = arrivalEndMs(scenario);
  const arrive = (nowMs: number): void => {
    if (nowMs >= endMs) return;
    requestCount += 1;
    const prefixHashes = createPrompt(simulation, {
      prefixSampler,
      requestCount,
    });
    sendRequest(simulation, {
      prefixHashes,
      onFirstToken: (token) => {
        if (nowMs < scenario.warmUpMs) return;
        firstTokenMs.push(token.nowMs - nowMs);
        cachedBlocks += token.cachedBlocks;
      },
    });
    simulation.queue.schedule(
      nowMs + simulation.random.exponential(meanInterarrivalMs),
      arrive,
    );
  };
  simulation.queue.schedule(0, arrive);
  simulation.queue.runAll();
  const blocks = firstTokenMs.length * SHARED_BLOCKS;
  return { firstTokenMs, prefixHitRate: cachedBlocks / blocks };
}

/** End of arrivals; requests in progress are still completed. */
function arrivalEndMs(scenario: RoutingScenario): number {
  return scenario.warmUpMs + scenario.measuredMs;
}

function createSimulation(
  scenario: RoutingScenario,
  options: {
    readonly seed: number;
    readonly createPolicy: (seed: number) => RoutingPolicy;
  },
): Simulation {
  const queue = new EventQueue();
  const random = new BenchRandom(options.seed);
  const lossRandom = new BenchRandom(options.seed + 1);
  const entries = Array.from(
    { length: scenario.entryCount },
    (_, index) => ({
      policy: options.createPolicy(options.seed * 100 + index),
      availabilityZone: ZONES[index % ZONES.length]!,
      ...createViews(scenario),
    }),
  );
  const engines = Array.from(
    { length: scenario.replicaCount },
    (_, index) =>
      new VirtualEngine({
        queue,
        maxRunning: MAX_RUNNING,
        cacheBlocks: CACHED_PROMPTS * PROMPT_BLOCKS,
        prefillMsPerBlock: PREFILL_MS_PER_BLOCK,
        tokenIntervalMs: TOKEN_INTERVAL_MS,
        onCacheChange: (change) => {
          for (const { policy } of entries) {
            if (policy.noteCacheEvent === undefined) continue;
            if (lossRandom.unit() < CACHE_EVENT_LOSS) continue;
            queue.schedule(queue.nowMs + CACHE_EVENT_DELAY_MS, (nowMs) =>
              policy.noteCacheEvent?.({
                ...change,
                replicaId: createReplicaId(index),
                bootId: "1",
                nowMs,
              }));
          }
        },
      }),
  );
  const simulation = { scenario, queue, random, engines, entries };
  entries.forEach((entry, index) => {
    const offsetMs = index * REPORT_INTERVAL_MS / entries.length;
    queue.schedule(offsetMs, () => readReports(simulation, entry));
  });
  return simulation;
}

function createViews(
  scenario: RoutingScenario,
): Pick<EntryInstance, "views" | "sent"> {
  const sent = new SentLog({ reportLagMs: REPORT_LAG_MS });
  const views = Array.from({ length: scenario.replicaCount }, (_, index) => {
    const replicaId = createReplicaId(index);
    return {
      replicaId,
      availabilityZone: ZONES[index % ZONES.length]!,
      reportedRequests: 0,
      reportedWaiting: 0,
      reportedAtMs: 0,
      get sentSinceReport() {
        return sent.count(replicaId);
      },
    };
  });
  return { views, sent };
}

function createReplicaId(index: number): string {
  return `drafter/${index}`;
}

/** Reads all loads; the entry instance receives them after the report lag. */
function readReports(simulation: Simulation, entry: EntryInstance): void {
  const { queue, engines } = simulation;
  if (queue.nowMs >= arrivalEndMs(simulation.scenario)) return;
  const loads = engines.map(({ requests, waiting }) => ({ requests, waiting }));
  queue.schedule(queue.nowMs + REPORT_LAG_MS, (nowMs) => {
    entry.views.forEach((view, index) => {
      view.reportedRequests = loads[index]!.requests;
      view.reportedAtMs = nowMs - REPORT_LAG_MS;
      view.reportedWaiting = loads[index]!.waiting;
      entry.sent.noteReport(view.replicaId, nowMs);
    });
  });
  queue.schedule(
    queue.nowMs + REPORT_INTERVAL_MS,
    () => readReports(simulation, entry),
  );
}

function createPrompt(
  simulation: Simulation,
  from: { readonly prefixSampler: ZipfSampler; readonly requestCount: number },
): number[] {
  const { scenario, random } = simulation;
  const own = -from.requestCount * PROMPT_BLOCKS;
  const prefix = from.prefixSampler.sample(random) * PROMPT_BLOCKS;
  const isShared = scenario.hasSharedPrefixes;
  return Array.from(
    { length: PROMPT_BLOCKS },
    (_, block) => (isShared && block < SHARED_BLOCKS ? prefix : own) + block,
  );
}

function sendRequest(
  simulation: Simulation,
  submission: {
    readonly prefixHashes: readonly number[];
    readonly onFirstToken: (
      token: { readonly nowMs: number; readonly cachedBlocks: number },
    ) => void;
  },
): void {
  const { queue, random, entries, engines, scenario } = simulation;
  const entry = entries[random.integer(0, entries.length - 1)]!;
  const outputTokens = Math.ceil(random.exponential(MEAN_OUTPUT_TOKENS));
  const request: RoutingRequest = {
    availabilityZone: entry.availabilityZone,
    prefixHashes: submission.prefixHashes,
    nowMs: queue.nowMs,
  };
  const chosen = entry.policy.router.choose(entry.views, request)!;
  entry.sent.noteSent(chosen.replicaId, queue.nowMs);
  const isSameZone = chosen.availabilityZone === entry.availabilityZone;
  const delayMs = isSameZone ? 0 : scenario.zoneDelayMs;
  const engine = engines[Number(chosen.replicaId.split("/")[1])]!;
  queue.schedule(queue.nowMs + delayMs, () =>
    engine.submit({
      prefixHashes: submission.prefixHashes,
      outputTokens,
      onFirstToken: ({ nowMs, cachedBlocks }) =>
        submission.onFirstToken({ nowMs: nowMs + delayMs, cachedBlocks }),
    }));
}
