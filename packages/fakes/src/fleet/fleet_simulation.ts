import {
  Coordinator,
  CrashQuarantine,
  type EngineSpec,
  findReaches,
  type InstanceAddress,
  InstanceLimits,
  InstanceListView,
  type InstanceState,
  type KeyedChange,
  type KeyedTopic,
  LEADER_GENERATION,
  type LeavingIncarnation,
  type PeerCalls,
  type PeerReport,
  PeerUnresponsive,
  readSteadyMs,
  ReplicaController,
  TopicCopy,
} from "celerytray";
import { Clock, Effect, type Scope } from "effect";
import { Right } from "purify-ts";
import { PausableClock } from "../coordination/pausable_clock.ts";
import { FakeKeyedStore, InProcessStore } from "../store/index.ts";
import { FakeFleet, runFakeFleet } from "./fake_fleet.ts";
import type { FakeWork } from "./fake_model_instance.ts";
import {
  applyEvent,
  DOMAINS,
  type FleetEvent,
  type FleetProcess,
} from "./fleet_events.ts";

/** Step of the virtual time. */
export const STEP_MS = 20;
/** Delay until the instance list shows a change. */
export const LIST_LAG_MS = 60;
const TIMES = {
  hotJoinMs: 200,
  warmJoinMs: 1_600,
  loadMs: 12_000,
  closeMs: 30,
};
const ENGINE: EngineSpec = {
  slots: 8,
  stepMs: 0,
  stepPerRequestMs: 0,
  promptTokensPerSecond: 0,
  usualPromptTokens: 0,
  usualAnswerTokens: 0,
  loadsPerSecond: 5,
  loadsAtOnce: 8,
  models: [
    {
      name: "large",
      size: 4,
      instanceShare: 0.7,
      pace: 1,
      loadMs: 12_000,
      warmMs: 1_600,
    },
    {
      name: "small",
      size: 2,
      instanceShare: 0.3,
      pace: 0.6,
      loadMs: 12_000,
      warmMs: 1_100,
    },
  ],
};
export const INSTANCES_PER_DOMAIN = 7;
export const PROCESS_COUNT = 3;
/** Time in which the replicas are formed, including loading their weights. */
export const SETTLE_MS = 16_000;
/** Minimum time for which a draining instance keeps running. */
const LONGEST_CALL_MS = 8_000;
export const DRAIN_MS = 2_000;
/** End of the configuration topic, and age of the leader's proof of it. */
const CONFIG_OFFSET = 7;
const PROOF_AGE_MS = 300;

/** A fleet of two domains, a store, and processes that control the fleet. */
export interface FleetSimulation {
  readonly fleet: FakeFleet;
  readonly store: FakeKeyedStore;
  readonly processes: readonly FleetProcess[];
  readonly findLeader: () => FleetProcess | undefined;
  /** Proofs of the configuration that were relayed to processes. */
  readonly relayedProofs: { readonly count: number };
  readonly apply: (event: FleetEvent) => void;
}

/** Starts a simulation; it runs until the scope closes. */
export function createFleetSimulation(
  options: {
    readonly seed: number;
    /** The requests in progress at an instance; by default there are none. */
    readonly findWork?: (instanceId: string) => FakeWork;
    /** Whether orders of earlier leaders are refused; by default they are. */
    readonly isFenced?: boolean;
  },
): Effect.Effect<FleetSimulation, never, Scope.Scope> {
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => readSteadyMs(clock);
    const store = new FakeKeyedStore();
    const lists: InstanceListView[] = [];
    let offset = 0;
    const publish = (state: InstanceState) => {
      offset += 1;
      const change = createInstanceChange(state, offset);
      for (const list of lists) list.apply(change, nowMs());
    };
    const fleet: FakeFleet = new FakeFleet({
      ...options,
      times: TIMES,
      onChange: (instance) => {
        const state = instance.toInstanceState();
        Effect.runForkWith(context)(
          Effect.andThen(
            Effect.sleep(LIST_LAG_MS),
            Effect.sync(() => publish(state)),
          ),
        );
      },
    });
    const context = yield* Effect.context<never>();
    const processes: FleetProcess[] = [];
    const relayedProofs = { count: 0 };
    const evacuated = new Set<string>();
    for (let index = 0; index < PROCESS_COUNT; index++) {
      const list = createListView();
      lists.push(list);
      const process = createProcess({
        index,
        list,
        fleet,
        store,
        processes,
        nowMs,
        relayedProofs,
        evacuated,
        clock: new PausableClock(clock),
      });
      processes.push(process);
      yield* Effect.forkScoped(
        process.coordinator.run().pipe(
          Effect.raceFirst(awaitTermination(process)),
          Effect.provideService(Clock.Clock, process.clock),
        ),
      );
    }
    yield* Effect.forkScoped(runFakeFleet(fleet));
    for (const domain of DOMAINS) {
      for (let index = 0; index < INSTANCES_PER_DOMAIN; index++) {
        fleet.addInstance(`${domain}-${index}`, domain, 1);
      }
    }
    const findLeader = () =>
      processes.find(({ coordinator, isTerminated }) =>
        coordinator.isLeading && !isTerminated
      );
    return {
      fleet,
      store,
      processes,
      findLeader,
      relayedProofs,
      apply: (event: FleetEvent) =>
        applyEvent(event, { fleet, store, findLeader, processes, evacuated }),
    };
  });
}

interface ProcessOptions {
  readonly index: number;
  readonly list: InstanceListView;
  readonly fleet: FakeFleet;
  readonly store: FakeKeyedStore;
  readonly processes: readonly FleetProcess[];
  readonly nowMs: () => number;
  /** Proofs of the configuration that were relayed to processes. */
  readonly relayedProofs: { count: number };
  /** Evacuated zones. */
  readonly evacuated: ReadonlySet<string>;
  readonly clock: PausableClock;
}

function createProcess(options: ProcessOptions): FleetProcess {
  const { index, list, fleet, store, processes, nowMs, relayedProofs } =
    options;
  const { evacuated, clock } = options;
  const unreachedIds = new Set<string>();
  const nodeId = `node-${index}`;
  const isPartitioned = () => processes[index]?.isPartitioned === true;
  const isStorePartitioned = () =>
    isPartitioned() || processes[index]?.isStorePartitioned === true;
  let answeredAtMs = 0;
  const listStalledHeads = () => {
    if (processes[index]?.fleetPartition !== undefined) {
      return fleet.listServingHeads().map(({ id }) => id);
    }
    const serving = new Set(
      fleet.listServingHeads().filter(({ membership }) =>
        !membership!.members.some((id) => unreachedIds.has(id))
      ).map(({ id }) => id),
    );
    return fleet.list().filter(({ id, membership }) =>
      membership?.state === "open" && !serving.has(id)
    ).map(({ id }) => id);
  };
  const control = fleet.createControl(
    () => processes[index]?.fleetPartition,
    (id) => unreachedIds.has(id),
  );
  const coordinator = new Coordinator({
    self: { nodeId, peerAddress: `${index}`, zone: "z", cores: 1 },
    bootId: `boot-${index}`,
    generation: LEADER_GENERATION,
    log: new InProcessStore({
      store,
      isDisconnected: isStorePartitioned,
      losesLongPolls: () => {
        const { lostLongPollCount } = processes[index]!;
        if (lostLongPollCount !== undefined) {
          processes[index]!.lostLongPollCount = lostLongPollCount + 1;
        }
        return lostLongPollCount !== undefined;
      },
    }),
    client: createPeerCalls(processes, isPartitioned),
    listStalledHeads,
    quarantine: new CrashQuarantine({ nodeId, onEvent: () => {} }),
    limits: new InstanceLimits({
      nodeId,
      countProcesses: () => 1,
      isStatusFresh: () => false,
      onChange: () => {},
    }),
    listSlowHeads: () => fleet.listSlowHeads().map(({ id }) => id),
    demand: () => ({}),
    retryWindowMs: 10_000,
    retryTotals: () => ({}),
    tenantDemand: () => ({}),
    config: {
      copy: createIdleTopicCopy(CONFIG_OFFSET),
      provenAtMs: () => nowMs() - PROOF_AGE_MS,
      onRelayed: ({ nextOffset }, provenAtMs) => {
        const ageMs = nowMs() - provenAtMs;
        if (nextOffset !== CONFIG_OFFSET || ageMs < PROOF_AGE_MS) {
          fleet.violations.push(
            `${nodeId} was relayed a wrong proof, ${ageMs} ms old`,
          );
        }
        relayedProofs.count += 1;
      },
    },
    hasTraffic: () => nowMs() > SETTLE_MS,
    storeAnsweredAtMs: () => {
      const isOut = isStorePartitioned() || store.faults.isOut === true;
      if (!isOut) answeredAtMs = nowMs();
      return answeredAtMs;
    },
    instances: {
      copy: createIdleTopicCopy(0),
      provenAtMs: nowMs,
      onRelayed: () => {},
    },
    random: () => 0,
    listLeaving: () => list.listUnconfirmedLeaving(),
    onLeaving: (incarnations) =>
      incarnations.forEach((incarnation) => list.noteLeaving(incarnation)),
    listLostServices: () => [],
    hasLostReplicas: () => false,
    losses: {
      isListLoaded: () => list.isLoaded,
      findInstance: (id) => list.find(id),
      probe: (instance) => control.probe(instance),
    },
    findReaches: (asked) =>
      findReaches(asked, { instances: list, control, random: () => 0 }),
    createController: (start) =>
      new ReplicaController({
        ...start,
        onOutdated: () => {
          processes[index]!.refusedOrderCount += 1;
          start.onOutdated();
        },
        instances: list,
        control,
        engines: () => new Map([["drafts", ENGINE]]),
        demand: () => 0,
        hasTraffic: () => nowMs() > SETTLE_MS,
        drainMs: DRAIN_MS,
        longestCallMs: () => LONGEST_CALL_MS,
        isEvacuated: (zone) => evacuated.has(zone),
        isBackingOff: () => false,
        onLeaving: (instanceId) =>
          list.noteLeaving(findIncarnation(list, instanceId)),
        record: () => {},
      }),
    record: () => {},
  });
  return {
    nodeId,
    coordinator,
    clock,
    unreachedIds,
    noteLeaving: (instanceId) =>
      list.noteLeaving(findIncarnation(list, instanceId)),
    isPartitioned: false,
    isStorePartitioned: false,
    fleetPartition: undefined,
    lostLongPollCount: undefined,
    refusedOrderCount: 0,
    isTerminated: false,
  };
}

/** Copy of a topic that is read to its end and never changes. */
function createIdleTopicCopy(nextOffset: number): TopicCopy {
  const copy = new TopicCopy();
  copy.apply({ isFullRead: true, records: [], nextOffset });
  return copy;
}

/** Incarnation of an instance as it is listed. */
function findIncarnation(
  list: InstanceListView,
  instanceId: string,
): LeavingIncarnation {
  const bornAtMs = list.find(instanceId)?.bornAtMs;
  return bornAtMs === undefined ? { instanceId } : { instanceId, bornAtMs };
}

/** Calls between the processes of a simulation. */
function createPeerCalls(
  processes: readonly FleetProcess[],
  isPartitioned: () => boolean,
): PeerCalls {
  const connect = (address: string) =>
    Effect.suspend(() => {
      const peer = processes[Number(address)];
      const isUnreachable = peer === undefined || peer.isTerminated ||
        peer.isPartitioned ||
        isPartitioned();
      return isUnreachable
        ? Effect.andThen(
          Effect.sleep(400),
          Effect.fail(
            new PeerUnresponsive({
              isRefused: peer?.isTerminated === true,
              message: "The peer did not answer",
            }),
          ),
        )
        : Effect.as(Effect.sleep(2), peer.coordinator);
    });
  return {
    report: (address: string, report: PeerReport) =>
      Effect.flatMap(connect(address), (peer) => peer.report(report)),
    reach: (address: string, instances: readonly InstanceAddress[]) =>
      Effect.flatMap(connect(address), (peer) => peer.findReaches(instances)),
    heardLead: (address: string, term: number) =>
      Effect.map(
        connect(address),
        (peer) => peer.heardLeadAgoMs(term) ?? null,
      ),
  };
}

function awaitTermination(process: FleetProcess): Effect.Effect<void> {
  return Effect.gen(function* () {
    while (!process.isTerminated) yield* Effect.sleep(STEP_MS);
  });
}

function createListView(): InstanceListView {
  return new InstanceListView({
    decode: (_id, text) => Right(JSON.parse(text) as InstanceState),
    onMalformed: () => {},
  });
}

function createInstanceChange(
  state: InstanceState,
  offset: number,
): KeyedChange {
  const topic: KeyedTopic = "instances";
  return {
    isFullRead: false,
    records: [{
      key: state.id,
      value: Buffer.from(JSON.stringify({ ...state, topic })),
      offset,
    }],
    nextOffset: offset + 1,
    freshAtMs: 0,
  };
}
