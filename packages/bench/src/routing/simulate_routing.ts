import type {
  CacheEvent,
  ReplicaLoad,
  Router,
  RoutingRequest,
} from "celerytray";
import { SentLog } from "celerytray";
import { BenchRandom, ZipfDraw } from "./bench_random.ts";
import { EventQueue } from "./event_queue.ts";
import { VirtualEngine } from "./virtual_engine.ts";

/** A place and its load. */
export interface RoutingScenario {
  readonly name: string;
  readonly replicaCount: number;
  readonly entryCount: number;
  readonly prefixCount: number;
  readonly zoneDelayMs: number;
  readonly hasSharedPrefixes: boolean;
  /** Share of the capacity that engines have without any cached prefix. */
  readonly load: number;
  readonly warmUpMs: number;
  readonly measuredMs: number;
}

/** A policy under measurement, one per entry instance. */
export interface RoutingPolicy {
  readonly router: Router;
  readonly noteCacheEvent?: (event: CacheEvent) => void;
}

/** What callers saw. */
export interface RoutingRun {
  readonly firstTokenMs: readonly number[];
  readonly prefixHitRate: number;
}

interface LoadView extends ReplicaLoad {
  reportedRequests: number;
  reportedWaiting: number;
  reportedAtMs: number;
}

interface Entry {
  readonly policy: RoutingPolicy;
  readonly availabilityZone: string;
  readonly views: readonly LoadView[];
  readonly sent: SentLog;
}

interface World {
  readonly scenario: RoutingScenario;
  readonly queue: EventQueue;
  readonly random: BenchRandom;
  readonly engines: readonly VirtualEngine[];
  readonly entries: readonly Entry[];
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

/** Plays one load against one policy in virtual time. */
export function simulateRouting(
  scenario: RoutingScenario,
  options: {
    readonly seed: number;
    readonly createPolicy: (seed: number) => RoutingPolicy;
  },
): RoutingRun {
  const world = createWorld(scenario, options);
  const firstTokenMs: number[] = [];
  let cachedBlocks = 0;
  const zipf = new ZipfDraw(scenario.prefixCount);
  const capacityPerMs = scenario.replicaCount /
    (PROMPT_BLOCKS * PREFILL_MS_PER_BLOCK);
  const meanGapMs = 1 / (capacityPerMs * scenario.load);
  let requestCount = 0;
  const endMs = findEnd(scenario);
  const arrive = (nowMs: number): void => {
    if (nowMs >= endMs) return;
    requestCount += 1;
    const prefixHashes = createPrompt(world, { zipf, requestCount });
    sendRequest(world, {
      prefixHashes,
      onFirstToken: (token) => {
        if (nowMs < scenario.warmUpMs) return;
        firstTokenMs.push(token.nowMs - nowMs);
        cachedBlocks += token.cachedBlocks;
      },
    });
    world.queue.schedule(nowMs + world.random.exponential(meanGapMs), arrive);
  };
  world.queue.schedule(0, arrive);
  world.queue.runAll();
  const blocks = firstTokenMs.length * SHARED_BLOCKS;
  return { firstTokenMs, prefixHitRate: cachedBlocks / blocks };
}

/** When the last request arrives; all of them are served to the end. */
function findEnd(scenario: RoutingScenario): number {
  return scenario.warmUpMs + scenario.measuredMs;
}

function createWorld(
  scenario: RoutingScenario,
  options: {
    readonly seed: number;
    readonly createPolicy: (seed: number) => RoutingPolicy;
  },
): World {
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
  const world = { scenario, queue, random, engines, entries };
  entries.forEach((entry, index) => {
    const phaseMs = index * REPORT_INTERVAL_MS / entries.length;
    queue.schedule(phaseMs, () => readReports(world, entry));
  });
  return world;
}

function createViews(
  scenario: RoutingScenario,
): Pick<Entry, "views" | "sent"> {
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

/** Reads all loads; the entry instance learns them after the lag. */
function readReports(world: World, entry: Entry): void {
  const { queue, engines } = world;
  if (queue.nowMs >= findEnd(world.scenario)) return;
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
    () => readReports(world, entry),
  );
}

function createPrompt(
  world: World,
  from: { readonly zipf: ZipfDraw; readonly requestCount: number },
): number[] {
  const { scenario, random } = world;
  const own = -from.requestCount * PROMPT_BLOCKS;
  const prefix = from.zipf.draw(random) * PROMPT_BLOCKS;
  const isShared = scenario.hasSharedPrefixes;
  return Array.from(
    { length: PROMPT_BLOCKS },
    (_, block) => (isShared && block < SHARED_BLOCKS ? prefix : own) + block,
  );
}

function sendRequest(
  world: World,
  sending: {
    readonly prefixHashes: readonly number[];
    readonly onFirstToken: (
      token: { readonly nowMs: number; readonly cachedBlocks: number },
    ) => void;
  },
): void {
  const { queue, random, entries, engines, scenario } = world;
  const entry = entries[random.integer(0, entries.length - 1)]!;
  const outputTokens = Math.ceil(random.exponential(MEAN_OUTPUT_TOKENS));
  const request: RoutingRequest = {
    availabilityZone: entry.availabilityZone,
    prefixHashes: sending.prefixHashes,
    nowMs: queue.nowMs,
  };
  const chosen = entry.policy.router.choose(entry.views, request)!;
  entry.sent.noteSent(chosen.replicaId, queue.nowMs);
  const isNear = chosen.availabilityZone === entry.availabilityZone;
  const delayMs = isNear ? 0 : scenario.zoneDelayMs;
  const engine = engines[Number(chosen.replicaId.split("/")[1])]!;
  queue.schedule(queue.nowMs + delayMs, () =>
    engine.submit({
      prefixHashes: sending.prefixHashes,
      outputTokens,
      onFirstToken: ({ nowMs, cachedBlocks }) =>
        sending.onFirstToken({ nowMs: nowMs + delayMs, cachedBlocks }),
    }));
}
