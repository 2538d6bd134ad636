import {
  Coordinator,
  CountingLog,
  InstanceListView,
  type LeavingIncarnation,
  type PeerNode,
  readSteadyMs,
  ReplicaController,
  TopicCopy,
} from "celerytray";
import { Clock, Effect, type Scope } from "effect";
import { Left } from "purify-ts";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FakeKeyedStore, InProcessStore } from "../store/index.ts";
import {
  awaitEnd,
  type CoordinatedProcess,
  createPeers,
} from "./coordinated_process.ts";
import { StoppableClock } from "./stoppable_clock.ts";

/** Steps in which a world's time passes. */
export const STEP_MS = 20;
const ZONES = 5;
/** Every so many machines, one is able. */
const ABLE_EVERY = 13;
const ABLE_CORES = 1.35;
const WEAK_CORES = 0.324;
const RANDOM_STEPS = 2 ** 30;

/** Processes that follow one of them, on one store. */
export interface CoordinationWorld {
  readonly processes: readonly CoordinatedProcess[];
  readonly store: FakeKeyedStore;
  /** Calls to the store by kind. */
  readonly storeCalls: Map<string, number>;
  readonly findLead: () => CoordinatedProcess | undefined;
  readonly nowMs: () => number;
}

/** Starts a number of processes within some 300 ms; they run until the scope closes. */
export function createCoordinationWorld(
  options: { readonly seed: number; readonly size: number },
): Effect.Effect<CoordinationWorld, never, Scope.Scope> {
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => readSteadyMs(clock);
    const generator = xoroshiro128plus(options.seed);
    const random = () =>
      uniformInt(generator, 0, RANDOM_STEPS - 1) / RANDOM_STEPS;
    const store = new FakeKeyedStore();
    const storeCalls = new Map<string, number>();
    const processes: CoordinatedProcess[] = [];
    for (let index = 0; index < options.size; index++) {
      const process = createProcess({
        index,
        processes,
        clock: new StoppableClock(clock),
        log: new CountingLog({
          log: new InProcessStore({
            store,
            losesWaits: () => processes[index]?.losesWaits === true,
          }),
          onCall: (call) =>
            storeCalls.set(call, (storeCalls.get(call) ?? 0) + 1),
        }),
        nowMs,
        random,
      });
      processes.push(process);
      yield* Effect.forkScoped(
        Effect.sleep(random() * START_SPREAD_MS).pipe(
          Effect.andThen(process.coordinator.run()),
          Effect.raceFirst(awaitEnd(process)),
          Effect.provideService(Clock.Clock, process.clock),
        ),
      );
    }
    return {
      processes,
      store,
      storeCalls,
      nowMs,
      findLead: () =>
        processes.find(({ coordinator, state }) =>
          coordinator.isLeading && state === "running"
        ),
    };
  });
}

const START_SPREAD_MS = 300;
/** Model and organisation of which each process has one request. */
export const SHARED_MODEL = "m";
export const SHARED_TENANT = "shared";

interface ProcessOptions {
  readonly index: number;
  readonly processes: readonly CoordinatedProcess[];
  readonly clock: StoppableClock;
  readonly log: CountingLog;
  readonly nowMs: () => number;
  readonly random: () => number;
}

function createProcess(
  { index, processes, clock, log, nowMs, random }: ProcessOptions,
): CoordinatedProcess {
  const leaving = new Map<string, LeavingIncarnation>();
  const node: PeerNode = {
    nodeId: `node-${String(index).padStart(3, "0")}`,
    peerAddress: `${index}`,
    zone: `z${index % ZONES}`,
    cores: index % ABLE_EVERY === 0 ? ABLE_CORES : WEAK_CORES,
  };
  const instances = new InstanceListView({
    decode: () => Left("No instance is listed"),
    onMalformed: () => {},
  });
  const process: CoordinatedProcess = {
    node,
    leaving,
    reports: 0,
    toldAtMs: 0,
    state: "running",
    noteOutdated: () => {},
    losesWaits: false,
    clock,
    onEnd: new Set(),
    coordinator: new Coordinator({
      self: node,
      bootId: `boot-${index}`,
      log,
      client: createPeers(processes),
      listStalledHeads: () => [],
      listSlowHeads: () => [],
      demand: () => ({ [SHARED_MODEL]: 1 }),
      retryTotals: () => ({}),
      tenantDemand: () => ({ [SHARED_TENANT]: 1, [`tenant-${index}`]: 1 }),
      hasTraffic: () => false,
      storeAnsweredAtMs: nowMs,
      // Only the lead reads the configuration; others are told.
      config: {
        copy: createReadCopy(),
        provenAtMs: () =>
          process.coordinator.isLeading ? nowMs() : process.toldAtMs,
        onRelayed: (_change, provenAtMs) => {
          process.toldAtMs = Math.max(process.toldAtMs, provenAtMs);
        },
      },
      instances: {
        copy: createReadCopy(),
        provenAtMs: nowMs,
        onRelayed: () => {},
      },
      listLeaving: () => [...leaving.values()],
      onLeaving: (incarnations) => {
        for (const incarnation of incarnations) {
          leaving.set(incarnation.instanceId, incarnation);
        }
      },
      createDirector: (start) => {
        process.noteOutdated = start.onOutdated;
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

/** A topic that was read to its end, in which nothing happens. */
function createReadCopy(): TopicCopy {
  const copy = new TopicCopy();
  copy.apply({ isFullRead: true, records: [], nextOffset: 1 });
  return copy;
}

/** Term of the lead that a process knows, by what it answers on terms. */
export function readTerm(
  { processes }: CoordinationWorld,
  { coordinator }: CoordinatedProcess,
): number {
  for (let term = processes.length * 2; term > 0; term--) {
    if (coordinator.heardLeadAgoMs(term) !== undefined) return term;
  }
  return 0;
}
