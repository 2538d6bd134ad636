import {
  Coordinator,
  CountingLog,
  CrashQuarantine,
  InstanceLimits,
  InstanceListView,
  LEADER_GENERATION,
  type LeavingIncarnation,
  type LossSources,
  type PeerNode,
  readSteadyMs,
  ReplicaController,
  SharedRetryBudget,
  TopicCopy,
  totalsLagMs,
} from "celerytray";
import { Clock, Effect, type Scope } from "effect";
import { Left } from "purify-ts";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FakeKeyedStore, InProcessStore } from "../store/index.ts";
import {
  awaitEnd,
  type CoordinatedProcess,
  createPeerCalls,
} from "./coordinated_process.ts";
import { PausableClock } from "./pausable_clock.ts";

/** Step of the virtual time. */
export const STEP_MS = 20;
const ZONES = 5;
/** One machine in this number is large. */
const LARGE_MACHINE_INTERVAL = 13;
const LARGE_CORES = 1.35;
const SMALL_CORES = 0.324;
const RANDOM_RANGE = 2 ** 30;

/** Processes that follow one of them as the leader, with a shared store. */
export interface SimulatedCluster {
  readonly processes: readonly CoordinatedProcess[];
  readonly store: FakeKeyedStore;
  /** Number of calls to the store, by kind. */
  readonly storeCalls: Map<string, number>;
  readonly findLeader: () => CoordinatedProcess | undefined;
  /**
   * Replaces a process that has ended by one that knows nothing yet, of another
   * version of the program or of the same.
   */
  readonly restart: (
    process: CoordinatedProcess,
    generation?: number,
  ) => Effect.Effect<void>;
  readonly nowMs: () => number;
}

/** The bound on the retries of all processes to one service. */
export interface RetryBound {
  readonly share: number;
  readonly slackRequests: number;
  readonly windowMs: number;
}

const DEFAULT_RETRY_BOUND: RetryBound = {
  share: 0.2,
  slackRequests: 350,
  windowMs: 10_000,
};

/** Starts processes within some 300 ms; they run until the scope closes. */
export function createSimulatedCluster(
  options: {
    readonly seed: number;
    readonly size: number;
    readonly retryBound?: RetryBound;
    /** Generation of the processes' way to lead; 0 for earlier versions. */
    readonly generation?: number;
    /** What the leader knows of instances; none is listed without it. */
    readonly losses?: LossSources;
    /** What the processes of an earlier cluster left behind. */
    readonly store?: FakeKeyedStore;
  },
): Effect.Effect<SimulatedCluster, never, Scope.Scope> {
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => readSteadyMs(clock);
    const generator = xoroshiro128plus(options.seed);
    const random = () =>
      uniformInt(generator, 0, RANDOM_RANGE - 1) / RANDOM_RANGE;
    const store = options.store ?? new FakeKeyedStore();
    const storeCalls = new Map<string, number>();
    const processes: CoordinatedProcess[] = [];
    const scope = yield* Effect.scope;
    const create = (index: number, generation = options.generation) =>
      createProcess({
        index,
        generation: generation ?? LEADER_GENERATION,
        retryBound: options.retryBound ?? DEFAULT_RETRY_BOUND,
        losses: options.losses ?? NO_INSTANCES,
        processes,
        clock: new PausableClock(clock),
        log: new CountingLog({
          log: new InProcessStore({
            store,
            losesLongPolls: () => processes[index]?.losesLongPolls === true,
          }),
          onCall: (call) =>
            storeCalls.set(call, (storeCalls.get(call) ?? 0) + 1),
        }),
        nowMs,
        random,
      });
    const run = (process: CoordinatedProcess) =>
      Effect.sleep(random() * START_SPREAD_MS).pipe(
        Effect.andThen(process.coordinator.run()),
        Effect.raceFirst(awaitEnd(process)),
        Effect.provideService(Clock.Clock, process.clock),
        Effect.forkIn(scope),
        Effect.asVoid,
      );
    for (let index = 0; index < options.size; index++) {
      processes.push(create(index));
      yield* run(processes[index]!);
    }
    return {
      processes,
      restart: ({ node }, generation) => {
        const index = Number(node.peerAddress);
        processes[index] = create(index, generation);
        return run(processes[index]);
      },
      store,
      storeCalls,
      nowMs,
      findLeader: () =>
        processes.find(({ coordinator, state }) =>
          coordinator.isLeading && state === "running"
        ),
    };
  });
}

const NO_INSTANCES: LossSources = {
  isListLoaded: () => true,
  findInstance: () => undefined,
  probe: () => Effect.never,
};
const START_SPREAD_MS = 300;
/** Model and organisation of the one request that each process has. */
/** Service whose replicas the leader controls. */
const REPLICATED_SERVICE = "drafts";
export const SHARED_MODEL = "m";
export const SHARED_TENANT = "shared";

interface ProcessOptions {
  readonly index: number;
  readonly generation: number;
  readonly retryBound: RetryBound;
  readonly losses: LossSources;
  readonly processes: readonly CoordinatedProcess[];
  readonly clock: PausableClock;
  readonly log: CountingLog;
  readonly nowMs: () => number;
  readonly random: () => number;
}

let bootCount = 0;

function createProcess(
  options: ProcessOptions,
): CoordinatedProcess {
  const { index, generation, retryBound, processes, clock, log } = options;
  const { losses, nowMs, random } = options;
  const leaving = new Map<string, LeavingIncarnation>();
  const lostServices = new Set<string>();
  const stalledHeads = new Set<string>();
  const node: PeerNode = {
    nodeId: `node-${String(index).padStart(3, "0")}`,
    peerAddress: `${index}`,
    zone: `z${index % ZONES}`,
    cores: index % LARGE_MACHINE_INTERVAL === 0 ? LARGE_CORES : SMALL_CORES,
    servesOthers: true,
  };
  const instances = new InstanceListView({
    decode: () => Left("No instance is listed in this cluster"),
    onMalformed: () => {},
  });
  const { nodeId } = node;
  const quarantine = new CrashQuarantine({ nodeId, onEvent: () => {} });
  const limits = new InstanceLimits({
    nodeId,
    countProcesses: () => process.coordinator.countProcesses(),
    isStatusFresh: () => process.coordinator.statusAgeMs() !== undefined,
    onChange: () => {},
  });
  const retryBudget: SharedRetryBudget = new SharedRetryBudget({
    ...retryBound,
    countMachines: () => process.coordinator.knownProcesses(),
    sharedTotals: () => process.coordinator.sharedTotals(),
    totalsLagMs: () =>
      totalsLagMs(
        process.coordinator.statusPath,
        process.coordinator.statusAgeMs() ?? 0,
      ),
    startedAtMs: nowMs(),
    random,
  });
  bootCount += 1;
  const process: CoordinatedProcess = {
    node,
    retryBudget,
    quarantine,
    limits,
    leaving,
    stalledHeads,
    lostServices,
    reportCount: 0,
    relayedProofAtMs: 0,
    state: "running",
    reportOutdatedOrder: () => {},
    losesLongPolls: false,
    clock,
    endListeners: new Set(),
    coordinator: new Coordinator({
      self: node,
      bootId: `boot-${index}-${bootCount}`,
      generation,
      log,
      client: createPeerCalls(processes),
      listStalledHeads: () => [...stalledHeads],
      quarantine,
      limits,
      listSlowHeads: () => [],
      demand: () => ({ [SHARED_MODEL]: 1 }),
      retryWindowMs: retryBound.windowMs,
      retryTotals: () => retryBudget.listTotals(nowMs()),
      tenantDemand: () => ({ [SHARED_TENANT]: 1, [`tenant-${index}`]: 1 }),
      hasTraffic: () => false,
      storeAnsweredAtMs: nowMs,
      // Only the leader reads the configuration; it relays it to the others.
      config: {
        copy: createIdleTopicCopy(),
        provenAtMs: () =>
          process.coordinator.isLeading ? nowMs() : process.relayedProofAtMs,
        onRelayed: (_change, provenAtMs) => {
          process.relayedProofAtMs = Math.max(
            process.relayedProofAtMs,
            provenAtMs,
          );
        },
      },
      instances: {
        copy: createIdleTopicCopy(),
        provenAtMs: nowMs,
        onRelayed: () => {},
      },
      listLeaving: () => [...leaving.values()],
      onLeaving: (incarnations) => {
        for (const incarnation of incarnations) {
          leaving.set(incarnation.instanceId, incarnation);
        }
      },
      losses,
      findReaches: () => Effect.succeed({}),
      listLostServices: () => [...lostServices],
      hasLostReplicas: () => lostServices.has(REPLICATED_SERVICE),
      createController: (start) => {
        process.reportOutdatedOrder = start.onOutdated;
        return new ReplicaController({
          ...start,
          instances,
          control: {
            sendOrder: () => Effect.never,
            probe: () => Effect.never,
          },
          engines: () => new Map(),
          demand: () => 0,
          hasTraffic: () => false,
          drainMs: 0,
          longestCallMs: () => 0,
          isBackingOff: () => false,
          onLeaving: () => {},
          record: () => {},
        });
      },
      random,
      record: () => {},
    }),
  };
  return process;
}

/** Copy of a topic that is read to its end and never changes. */
function createIdleTopicCopy(): TopicCopy {
  const copy = new TopicCopy();
  copy.apply({ isFullRead: true, records: [], nextOffset: 1 });
  return copy;
}

/** Highest term whose leader a process has heard from; 0 if none. */
export function findKnownTerm(
  { processes }: SimulatedCluster,
  { coordinator }: CoordinatedProcess,
): number {
  for (let term = processes.length * 2; term > 0; term--) {
    if (coordinator.heardLeadAgoMs(term) !== undefined) return term;
  }
  return 0;
}
