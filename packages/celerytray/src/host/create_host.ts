import { Clock, Effect, type Scope } from "effect";
import { randomUUID } from "node:crypto";
import { readSteadyMs } from "../clock/index.ts";
import {
  Coordinator,
  createPeerHandler,
  PeerClient,
  sumLagMs,
} from "../coordination/index.ts";
import {
  type EngineSpecs,
  FleetDirector,
  type InstanceControl,
  InstanceListView,
  type InstanceState,
  type LeavingIncarnation,
} from "../groups/index.ts";
import { BackendPools, listen, type ListenFailure } from "../http/index.ts";
import {
  type Journal,
  MetricsPage,
  type RecordEvent,
} from "../journal/index.ts";
import {
  type KeyedChange,
  type KeyedLog,
  readRelayedChange,
  TopicCopy,
} from "../keyed_log/index.ts";
import {
  BackoffTracker,
  BudgetTracker,
  type CallCodec,
  findHomeProblems,
  LoadTracker,
  PaceTracker,
  QueueWaits,
  RepeatBudget,
  type ServingConfig,
  type ServingDependencies,
  StallWatch,
} from "../serving/index.ts";
import type { Either } from "purify-ts";
import { addGauges } from "./add_gauges.ts";
import { type CallerServer, createCallerServer } from "./caller_server.ts";
import { ConfigView } from "./config_view.ts";
import { countStoreCalls } from "./count_store_calls.ts";
import { createAdmission } from "./create_admission.ts";
import { createZoneRules } from "./create_zone_rules.ts";
import { createColdRules } from "./create_cold_rules.ts";
import { createRandom } from "./create_random.ts";
import { drainCallers } from "./drain_callers.ts";
import { followStore } from "./follow_store.ts";
import { KeyFreshness } from "./key_freshness.ts";
import type { HostSettings } from "./host_settings.ts";
import { keepRunning, recordFault } from "./keep_running.ts";
import { measureLag } from "./loop_lag.ts";
import { moveAttempts } from "./move_attempts.ts";
import { createPressure } from "./pressure.ts";
import { proveKeys } from "./prove_keys.ts";
import { recordCall } from "./record_call.ts";
import { StoreContact } from "./store_contact.ts";
import { TargetLists } from "./target_lists.ts";

/** How this program meets its surroundings. */
export interface HostPorts {
  readonly log: KeyedLog;
  readonly control: InstanceControl;
  readonly codec: CallCodec;
  readonly decodeConfig: (text: string) => Either<string, ServingConfig>;
  readonly decodeInstance: (
    id: string,
    text: string,
  ) => Either<string, InstanceState>;
  /** Key of the operator's configuration. */
  readonly configKey: string;
  /** Begins the keys of zones that are evacuated, in the same topic. */
  readonly evacuationPrefix: string;
}

/** Options of a process on a machine of the deployment. */
export interface HostOptions {
  readonly settings: HostSettings;
  readonly ports: HostPorts;
  readonly journal: Journal;
}

/** A running process. */
export interface Host {
  /** Takes no new connections and waits until what was taken is answered. */
  readonly drain: () => Effect.Effect<void>;
}

/** Part of the time for taking keys away after which they are not trusted. */
const KEY_AGE_PART = 0.95;
/** Age of the keys at which callers are sent to other machines. */
const READY_KEY_AGE_PART = 0.6;
/** Starts the process; it runs until the scope closes. */
export function createHost(
  options: HostOptions,
): Effect.Effect<Host, ListenFailure, Scope.Scope> {
  const { settings, ports, journal } = options;
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => readSteadyMs(clock);
    const keys = new KeyFreshness({
      maxAgeMs: settings.keyRevocationMs * KEY_AGE_PART,
      steadyMs: nowMs,
      wallMs: () => clock.currentTimeMillisUnsafe(),
      onDoubt: () => {
        state.needsProof = true;
        record("keys.doubted", {});
      },
    });
    const record: RecordEvent = (kind, fields) => journal.record(kind, fields);
    const contact = new StoreContact({ topic: "config", record });
    const listContact = new StoreContact({ topic: "instances", record });
    const metrics = new MetricsPage();
    const loads = new LoadTracker();
    const backoffs = new BackoffTracker();
    const pressure = createPressure({
      memoryMb: settings.memoryMb,
      metrics,
      record,
      nowMs,
    });
    const queueWaits = new QueueWaits(loads);
    const stalls = new StallWatch({
      queueWaitMs: (request, atMs) => queueWaits.explainedMs(request, atMs),
      isBehind: (atMs) => pressure.lag.isBehind(atMs),
    });
    const paces = new PaceTracker();
    const pools = new BackendPools();
    const demand = new Map<string, number>();
    const tenantDemand = new Map<string, number>();
    const state = {
      isDraining: false,
      hasTraffic: false,
      needsProof: false,
      /** Time before which the list of instances was the newest. */
      listProvenAtMs: Number.NEGATIVE_INFINITY,
    };
    const random = createRandom();

    const servers: { callers?: CallerServer } = {};
    const config = new ConfigView({
      key: ports.configKey,
      decode: ports.decodeConfig,
      onAdopted: (version, offset) => {
        record("config.adopted", { version, offset });
        coordinator.noteChange();
        const adopted = config.index!.config;
        const problems = findHomeProblems(adopted, settings.zoneRegions);
        if (problems !== undefined) record("config.homes", { ...problems });
        servers.callers?.setTimeouts(adopted.limits);
      },
      onMalformed: (message, offset) =>
        record("config.malformed", { message, offset }),
    });
    const instances = new InstanceListView({
      decode: ports.decodeInstance,
      onMalformed: (instanceId, message) =>
        record("instance.malformed", { instanceId, message }),
    });
    const log = yield* countStoreCalls({ log: ports.log, metrics, record });
    const instancesCopy = new TopicCopy();
    const applyInstances = (change: KeyedChange) => {
      state.listProvenAtMs = Math.max(state.listProvenAtMs, change.freshAtMs);
      if (change.records.length === 0 && !change.isWhole) return;
      instancesCopy.apply(change);
      coordinator.noteChange();
      instances.apply(change, nowMs());
      cold.noteList(change);
      const isPresent = (id: string) => instances.find(id) !== undefined;
      loads.keepOnly(isPresent);
      paces.keepOnly(isPresent);
      stalls.keepOnly(isPresent);
      backoffs.keepOnly(isPresent, nowMs());
    };
    const configCopy = new TopicCopy();
    const cold = createColdRules({
      processId: settings.nodeId,
      bounds: {
        overshoot: settings.coldOvershoot,
        slackRequests: settings.coldSlackRequests,
      },
      instances,
      coldOf: (service) => config.index?.config.services.get(service)?.cold,
      coordinator: () => coordinator,
      hasTraffic: () => state.hasTraffic,
      metrics,
      record,
      nowMs,
      wallMs: () => clock.currentTimeMillisUnsafe(),
    });
    const zones = createZoneRules({
      prefix: ports.evacuationPrefix,
      copy: configCopy,
      instances,
      loads,
      metrics,
      record,
      nowMs,
      onRestored: cold.noteRestored,
    });
    const applyConfig = (change: KeyedChange) => {
      configCopy.apply(change);
      // Before the configuration, so that a start never serves without it.
      if (change.records.length > 0 || change.isWhole) zones.update();
      config.apply(change);
      keys.noteProof(change.freshAtMs);
    };
    const noteLeaving = (incarnation: LeavingIncarnation) => {
      if (instances.noteLeaving(incarnation)) {
        record("instance.leaving", { ...incarnation });
      }
    };
    const engines = (): EngineSpecs => listEngines(config);

    const repeats: RepeatBudget = new RepeatBudget({
      share: settings.retryShare,
      slackRequests: settings.retrySlackRequests,
      windowMs: settings.retryWindowMs,
      countMachines: () => coordinator.countProcesses(),
      sharedTotals: () => coordinator.sharedTotals(),
      untoldMs: () => sumLagMs(coordinator.steps),
      random,
    });

    const coordinator: Coordinator = new Coordinator({
      self: {
        nodeId: settings.nodeId,
        peerAddress: settings.peerAddress,
        zone: settings.zone,
        cores: settings.cores,
      },
      bootId: randomUUID(),
      log,
      client: new PeerClient(),
      random,
      listStalledHeads: () =>
        stalls.findDoubtful(nowMs()).map(({ instanceId }) => instanceId),
      repeats: () => repeats.listTotals(nowMs()),
      listSlowHeads: () => paces.listSlow(nowMs()),
      demand: () => Object.fromEntries(demand),
      tenantDemand: () => Object.fromEntries(tenantDemand),
      hasTraffic: () => state.hasTraffic,
      storeAnsweredAtMs: () => contact.answeredAtMs,
      config: {
        copy: configCopy,
        provenAtMs: () => keys.provenAtMs,
        onTold: (change, freshAtMs) =>
          applyConfig({ ...readRelayedChange(change), freshAtMs }),
      },
      instances: {
        copy: instancesCopy,
        provenAtMs: () => state.listProvenAtMs,
        onTold: (change, freshAtMs) =>
          applyInstances({ ...readRelayedChange(change), freshAtMs }),
      },
      listLeaving: () => instances.listUnlistedLeaving(),
      onLeaving: (incarnations) => incarnations.forEach(noteLeaving),
      createDirector: (start) =>
        new FleetDirector({
          ...start,
          instances,
          control: ports.control,
          engines,
          demand: (model) => coordinator.totalDemand(model),
          hasTraffic: () => coordinator.hasAnyTraffic(),
          drainMs: settings.drainMs,
          onColdTold: cold.noteReported,
          isEvacuated: (zone) => zones.evacuations.isEvacuated(zone),
          isBackingOff: (instanceId) =>
            backoffs.isBackingOff(instanceId, nowMs()),
          onLeaving: (instanceId) => {
            const bornAtMs = instances.find(instanceId)?.bornAtMs;
            noteLeaving(createIncarnation(instanceId, bornAtMs));
          },
          record,
        }),
      record,
    });
    const targets = new TargetLists({
      instances,
      closedHeads: () => coordinator.listClosedHeads(),
      services: () => config.index?.config.services,
      evacuations: zones.evacuations,
      zoneRegions: settings.zoneRegions,
    });

    yield* followStore({
      log,
      coordinator,
      applyConfig,
      keys,
      contacts: { config: contact, instances: listContact },
      configOffset: () => configCopy.nextOffset,
      instancesOffset: () => instancesCopy.nextOffset,
      listAgeMs: () => nowMs() - state.listProvenAtMs,
      random,
      record,
      applyInstances,
      nowMs,
    });
    const loops: Readonly<Record<string, Effect.Effect<unknown>>> = {
      coordination: coordinator.run(),
      "counting of processes": cold.run,
      "proof of keys": proveKeys({ log, config, keys, state, record }),
      "measuring of lag": measureLag(pressure.lag, record),
      "moving of requests": moveAttempts({
        stalls,
        paces,
        isBehind: (atMs) => pressure.lag.isBehind(atMs),
        nowMs,
        record,
        closedHeads: () => coordinator.listClosedHeads(),
      }),
    };
    for (const [name, loop] of Object.entries(loops)) {
      yield* Effect.forkScoped(keepRunning(loop, { name, record }));
    }

    const dependencies: ServingDependencies = {
      ...pressure.dependencies,
      codec: ports.codec,
      zone: settings.zone,
      index: () => config.index,
      areKeysFresh: () => keys.isFresh(),
      listTargets: (service, model, homes) =>
        targets.list(service, model, homes),
      admission: createAdmission({
        coordinator,
        loads,
        metrics,
        // Queues don't tell home regions apart.
        listTargets: (service, model) =>
          targets.list(service, model, undefined),
      }),
      findBar: (service, homes) => targets.findBar(service, homes),
      loads,
      cold: cold.allowance,
      backoffs,
      stalls,
      paces,
      queueWaits,
      budgets: new BudgetTracker(),
      repeats,
      agentFor: (address) => pools.agentFor(address),
      discardAgent: (address) => pools.discard(address),
      hasConnection: (address) => pools.hasFree(address),
      random,
      noteDemand: ({ model, tenant }, change) => {
        state.hasTraffic = true;
        addDemand(demand, model, change);
        if (tenant !== undefined) addDemand(tenantDemand, tenant, change);
      },
      noteLeaving: ({ instanceId, bornAtMs }) =>
        noteLeaving(createIncarnation(instanceId, bornAtMs)),
      onBackoff: (backoff) => record("instance.backoff", { ...backoff }),
      onMalformedHead: (instanceId, message) =>
        record("instance.head-malformed", { instanceId, message }),
      onFault: (defect) =>
        recordFault({ name: "serving of a request", record }, defect),
      record: (call) => recordCall(call, { journal, metrics }),
    };
    servers.callers = yield* createCallerServer({
      address: settings.callerAddress,
      dependencies,
      idleTimeoutMs: DEFAULT_IDLE_TIMEOUT_MS,
      headerTimeoutMs: DEFAULT_HEADER_TIMEOUT_MS,
      maxHeaderBytes: MAX_HEADER_BYTES,
    });
    const callers = servers.callers;
    const isReady = () =>
      !state.isDraining && config.index !== undefined &&
      instances.isLoaded &&
      keys.ageMs() < settings.keyRevocationMs * READY_KEY_AGE_PART;
    yield* listen({
      address: settings.readyAddress,
      handler: (_request, response) => {
        response.writeHead(isReady() ? 200 : 503, { "content-length": 0 });
        response.end();
      },
    });
    yield* listen({
      address: settings.peerAddress,
      handler: createPeerHandler(coordinator),
    });
    addGauges(metrics, { callers, coordinator, config });
    yield* listen({
      address: settings.metricsAddress,
      handler: metrics.handler(),
    });
    return {
      drain: () => {
        state.isDraining = true;
        coordinator.leave();
        return drainCallers(callers, settings.graceMs);
      },
    };
  });
}

/** Bounds until a configuration is known. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
const MAX_HEADER_BYTES = 32 * 1024;

function addDemand(
  demand: Map<string, number>,
  name: string,
  change: 1 | -1,
): void {
  const requests = (demand.get(name) ?? 0) + change;
  if (requests === 0) demand.delete(name);
  else demand.set(name, requests);
}

function createIncarnation(
  instanceId: string,
  bornAtMs: number | undefined,
): LeavingIncarnation {
  return bornAtMs === undefined ? { instanceId } : { instanceId, bornAtMs };
}

function listEngines(config: ConfigView): EngineSpecs {
  const engines = new Map();
  for (const [name, { engine }] of config.index?.config.services ?? []) {
    if (engine !== undefined && engine.models.length > 0) {
      engines.set(name, engine);
    }
  }
  return engines;
}
