import {
  Coordinator,
  type EngineSpec,
  InstanceListView,
  type InstanceState,
  type KeyedChange,
  type KeyedTopic,
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
import { FakeKeyedStore, InProcessStore } from "../store/index.ts";
import { FakeFleet, runFakeFleet } from "./fake_fleet.ts";
import {
  applyTrouble,
  DOMAINS,
  type FleetProcess,
  type Trouble,
} from "./fleet_trouble.ts";

/** Steps in which a world's time passes. */
export const STEP_MS = 20;
/** Time after which the list tells of a change. */
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
/** Instances of each domain. */
export const DOMAIN_SIZE = 7;
/** Processes that take part in directing. */
export const PROCESSES = 3;
/** Time until the replicas are formed, with the loads of their weights. */
export const SETTLE_MS = 16_000;
/** Time for which an instance that drains works on at least. */
export const DRAIN_MS = 2_000;
/** Where the configuration ends, and since when the lead knows. */
const CONFIG_OFFSET = 7;
const PROOF_AGE_MS = 300;

/** A fleet of two domains, a store, and processes that direct the fleet. */
export interface FleetWorld {
  readonly fleet: FakeFleet;
  readonly store: FakeKeyedStore;
  readonly findLead: () => FleetProcess | undefined;
  /** Proofs of the configuration that processes were told. */
  readonly proofs: { readonly count: number };
  readonly apply: (trouble: Trouble) => void;
}

/** Starts a world; it runs until the scope closes. */
export function createFleetWorld(
  options: { readonly seed: number },
): Effect.Effect<FleetWorld, never, Scope.Scope> {
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => readSteadyMs(clock);
    const store = new FakeKeyedStore();
    const lists: InstanceListView[] = [];
    let offset = 0;
    const tell = (state: InstanceState) => {
      offset += 1;
      const change = createChange(state, offset);
      for (const list of lists) list.apply(change, nowMs());
    };
    const fleet: FakeFleet = new FakeFleet({
      seed: options.seed,
      times: TIMES,
      onChange: (instance) => {
        const state = instance.toInstanceState();
        Effect.runForkWith(context)(
          Effect.andThen(
            Effect.sleep(LIST_LAG_MS),
            Effect.sync(() => tell(state)),
          ),
        );
      },
    });
    const context = yield* Effect.context<never>();
    const processes: FleetProcess[] = [];
    const proofs = { count: 0 };
    const evacuated = new Set<string>();
    for (let index = 0; index < PROCESSES; index++) {
      const list = createList();
      lists.push(list);
      const process = createProcess({
        index,
        list,
        fleet,
        store,
        processes,
        nowMs,
        proofs,
        evacuated,
      });
      processes.push(process);
      yield* Effect.forkScoped(
        process.coordinator.run().pipe(
          Effect.raceFirst(awaitDeath(process)),
        ),
      );
    }
    yield* Effect.forkScoped(runFakeFleet(fleet));
    for (const domain of DOMAINS) {
      for (let index = 0; index < DOMAIN_SIZE; index++) {
        fleet.start(`${domain}-${index}`, domain, 1);
      }
    }
    const findLead = () =>
      processes.find(({ coordinator, isDead }) =>
        coordinator.isLeading && !isDead
      );
    return {
      fleet,
      store,
      findLead,
      proofs,
      apply: (step: Trouble) =>
        applyTrouble(step, { fleet, store, findLead, processes, evacuated }),
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
  /** Proofs of the configuration that processes were told. */
  readonly proofs: { count: number };
  /** Zones to which nothing is to be sent. */
  readonly evacuated: ReadonlySet<string>;
}

function createProcess(options: ProcessOptions): FleetProcess {
  const { index, list, fleet, store, processes, nowMs, proofs } = options;
  const { evacuated } = options;
  const nodeId = `node-${index}`;
  const isCut = () => processes[index]?.isCut === true;
  const isStoreCut = () => isCut() || processes[index]?.isStoreCut === true;
  let answeredAtMs = 0;
  const listStalledHeads = () => {
    const serving = new Set(fleet.listServing().map(({ id }) => id));
    return fleet.list().filter(({ id, membership }) =>
      membership?.state === "open" && !serving.has(id)
    ).map(({ id }) => id);
  };
  const coordinator = new Coordinator({
    self: { nodeId, peerAddress: `${index}`, zone: "z", cores: 1 },
    bootId: `boot-${index}`,
    log: new InProcessStore({
      store,
      isCut: isStoreCut,
      losesWaits: () => {
        const { lostWaits } = processes[index]!;
        if (lostWaits !== undefined) {
          processes[index]!.lostWaits = lostWaits + 1;
        }
        return lostWaits !== undefined;
      },
    }),
    client: createPeers(processes, isCut),
    listStalledHeads,
    listSlowHeads: () => fleet.listSlow().map(({ id }) => id),
    demand: () => ({}),
    retryTotals: () => ({}),
    tenantDemand: () => ({}),
    config: {
      copy: createReadCopy(CONFIG_OFFSET),
      provenAtMs: () => nowMs() - PROOF_AGE_MS,
      onRelayed: ({ nextOffset }, provenAtMs) => {
        const ageMs = nowMs() - provenAtMs;
        if (nextOffset !== CONFIG_OFFSET || ageMs < PROOF_AGE_MS) {
          fleet.violations.push(
            `${nodeId} was told a proof of ${ageMs} ms ago`,
          );
        }
        proofs.count += 1;
      },
    },
    hasTraffic: () => nowMs() > SETTLE_MS,
    storeAnsweredAtMs: () => {
      const isOut = isStoreCut() || store.faults.isOut === true;
      if (!isOut) answeredAtMs = nowMs();
      return answeredAtMs;
    },
    instances: {
      copy: createReadCopy(0),
      provenAtMs: nowMs,
      onRelayed: () => {},
    },
    random: () => 0,
    listLeaving: () => list.listUnconfirmedLeaving(),
    onLeaving: (incarnations) =>
      incarnations.forEach((incarnation) => list.noteLeaving(incarnation)),
    createDirector: (start) =>
      new ReplicaController({
        ...start,
        onOutdated: () => {
          processes[index]!.refusedOrders += 1;
          start.onOutdated();
        },
        instances: list,
        control: fleet.createControl(),
        engines: () => new Map([["drafts", ENGINE]]),
        demand: () => 0,
        hasTraffic: () => nowMs() > SETTLE_MS,
        drainMs: DRAIN_MS,
        isEvacuated: (zone) => evacuated.has(zone),
        isBackingOff: () => false,
        onLeaving: (instanceId) =>
          list.noteLeaving(describeIncarnation(list, instanceId)),
        record: () => {},
      }),
    record: () => {},
  });
  return {
    nodeId,
    coordinator,
    noteLeaving: (instanceId) =>
      list.noteLeaving(describeIncarnation(list, instanceId)),
    isCut: false,
    isStoreCut: false,
    lostWaits: undefined,
    refusedOrders: 0,
    isDead: false,
  };
}

/** A topic that was read to its end, in which nothing happens. */
function createReadCopy(nextOffset: number): TopicCopy {
  const copy = new TopicCopy();
  copy.apply({ isFullRead: true, records: [], nextOffset });
  return copy;
}

/** The listed incarnation of an instance. */
function describeIncarnation(
  list: InstanceListView,
  instanceId: string,
): LeavingIncarnation {
  const bornAtMs = list.find(instanceId)?.bornAtMs;
  return bornAtMs === undefined ? { instanceId } : { instanceId, bornAtMs };
}

/** Calls between the processes of a world. */
function createPeers(
  processes: readonly FleetProcess[],
  isCut: () => boolean,
): PeerCalls {
  const reach = (address: string) =>
    Effect.suspend(() => {
      const peer = processes[Number(address)];
      const isSilent = peer === undefined || peer.isDead || peer.isCut ||
        isCut();
      return isSilent
        ? Effect.andThen(
          Effect.sleep(400),
          Effect.fail(
            new PeerUnresponsive({
              isRefused: peer?.isDead === true,
              message: "The peer is silent",
            }),
          ),
        )
        : Effect.as(Effect.sleep(2), peer.coordinator);
    });
  return {
    report: (address: string, report: PeerReport) =>
      Effect.flatMap(reach(address), (peer) => peer.report(report)),
    heardLead: (address: string, term: number) =>
      Effect.map(
        reach(address),
        (peer) => peer.heardLeadAgoMs(term) ?? null,
      ),
  };
}

function awaitDeath(process: FleetProcess): Effect.Effect<void> {
  return Effect.gen(function* () {
    while (!process.isDead) yield* Effect.sleep(STEP_MS);
  });
}

function createList(): InstanceListView {
  return new InstanceListView({
    decode: (_id, text) => Right(JSON.parse(text) as InstanceState),
    onMalformed: () => {},
  });
}

function createChange(state: InstanceState, offset: number): KeyedChange {
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
