import {
  Coordinator,
  CountedLog,
  FleetDirector,
  InstanceListView,
  type LeavingIncarnation,
  type PeerCalls,
  type PeerNode,
  PeerSilent,
  readSteadyMs,
  TopicCopy,
} from "celerytray";
import { Clock, Effect, type Scope } from "effect";
import { Left } from "purify-ts";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FakeKeyedStore, InProcessStore } from "../store/index.ts";

/** Steps in which a world's time passes. */
export const STEP_MS = 20;
const ZONES = 5;
const CALL_MS = 1;
const SILENCE_MS = 400;
/** Every so many machines, one is able. */
const ABLE_EVERY = 13;
const ABLE_CORES = 1.35;
const WEAK_CORES = 0.324;
const RANDOM_STEPS = 2 ** 30;

/** A process that takes part, and what happens to its machine. */
export interface CoordinatedProcess {
  readonly node: PeerNode;
  readonly coordinator: Coordinator;
  /** Instances that it heard say that they leave. */
  readonly leaving: Map<string, LeavingIncarnation>;
  /** Reports that it was sent. */
  reports: number;
  /** Times at which it last proved a topic's end by the status of others. */
  toldAtMs: number;
  state: ProcessState;
  readonly onEnd: Set<() => void>;
}

/** Killed: its address refuses. Without power: it is silent. */
export type ProcessState = "running" | "killed" | "without-power";

/** Ends a process. */
export function endProcess(
  process: CoordinatedProcess,
  state: Exclude<ProcessState, "running">,
): void {
  process.state = state;
  for (const notify of [...process.onEnd]) notify();
}

/** Processes that follow one of them, on one store. */
export interface CoordinationWorld {
  readonly processes: readonly CoordinatedProcess[];
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
        log: new CountedLog({
          log: new InProcessStore({ store }),
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
        ),
      );
    }
    return {
      processes,
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
  readonly log: CountedLog;
  readonly nowMs: () => number;
  readonly random: () => number;
}

function createProcess(
  { index, processes, log, nowMs, random }: ProcessOptions,
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
    onEnd: new Set(),
    coordinator: new Coordinator({
      self: node,
      bootId: `boot-${index}`,
      log,
      client: createPeers(processes),
      listStalledHeads: () => [],
      listSlowHeads: () => [],
      demand: () => ({ [SHARED_MODEL]: 1 }),
      repeats: () => ({}),
      tenantDemand: () => ({ [SHARED_TENANT]: 1, [`tenant-${index}`]: 1 }),
      hasTraffic: () => false,
      storeAnsweredAtMs: nowMs,
      // Only the lead reads the configuration; others are told.
      config: {
        copy: createReadCopy(),
        provenAtMs: () =>
          process.coordinator.isLeading ? nowMs() : process.toldAtMs,
        onTold: (_change, provenAtMs) => {
          process.toldAtMs = Math.max(process.toldAtMs, provenAtMs);
        },
      },
      instances: {
        copy: createReadCopy(),
        provenAtMs: nowMs,
        onTold: () => {},
      },
      listLeaving: () => [...leaving.values()],
      onLeaving: (incarnations) => {
        for (const incarnation of incarnations) {
          leaving.set(incarnation.instanceId, incarnation);
        }
      },
      createDirector: ({ term, replicas, recorder }) =>
        new FleetDirector({
          term,
          replicas,
          recorder,
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
        }),
      random,
      record: () => {},
    }),
  };
  return process;
}

/** A topic that was read to its end, in which nothing happens. */
function createReadCopy(): TopicCopy {
  const copy = new TopicCopy();
  copy.apply({ isWhole: true, records: [], nextOffset: 1 });
  return copy;
}

function createPeers(processes: readonly CoordinatedProcess[]): PeerCalls {
  const reach = (address: string) =>
    Effect.suspend(() => {
      const peer = processes[Number(address)]!;
      const fail = Effect.fail(
        new PeerSilent({
          isRefused: peer.state === "killed",
          message: "The peer is silent",
        }),
      );
      switch (peer.state) {
        case "running":
          return Effect.as(Effect.sleep(CALL_MS), peer);
        case "killed":
          return Effect.andThen(Effect.sleep(CALL_MS), fail);
        case "without-power":
          return Effect.andThen(Effect.sleep(SILENCE_MS), fail);
      }
    });
  // An answer that waits at a machine that ends never comes.
  const cut = (peer: CoordinatedProcess) =>
    Effect.gen(function* () {
      yield* awaitEnd(peer);
      if (peer.state === "without-power") yield* Effect.sleep(SILENCE_MS);
      return yield* Effect.fail(
        new PeerSilent({ isRefused: false, message: "The peer has ended" }),
      );
    });
  return {
    report: (address, report) =>
      Effect.flatMap(reach(address), (peer) => {
        peer.reports += 1;
        return Effect.raceFirst(peer.coordinator.report(report), cut(peer));
      }),
    heardLead: (address, term) =>
      Effect.map(
        reach(address),
        ({ coordinator }) => coordinator.heardLeadAgoMs(term) ?? null,
      ),
  };
}

function awaitEnd(process: CoordinatedProcess): Effect.Effect<void> {
  return Effect.callback<void>((resume) => {
    const notify = () => resume(Effect.void);
    process.onEnd.add(notify);
    return Effect.sync(() => process.onEnd.delete(notify));
  });
}
