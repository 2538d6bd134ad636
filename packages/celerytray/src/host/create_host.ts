import { Clock, Effect, type Scope } from "effect";
import { readSteadyMs } from "../clock/index.ts";
import {
  type Coordinator,
  createPeerHandler,
  totalsLagMs,
} from "../coordination/index.ts";
import {
  type AddressInUse,
  BackendPools,
  listen,
  type ListenFailure,
} from "../http/index.ts";
import { MetricsPage, type RecordEvent } from "../journal/index.ts";
import { EraTrackingLog } from "../keyed_log/index.ts";
import {
  AliveCheck,
  BackendLinks,
  CallerTimeoutTracker,
  GatewayChoice,
  GracefulStop,
  type ServingDependencies,
  SharedRetryBudget,
  SuspectLoad,
} from "../serving/index.ts";
import { addGauges } from "./add_gauges.ts";
import {
  type CallerServer,
  createCallerServer,
  REQUEST_TIMEOUT_MS,
} from "./caller_server.ts";
import { createRelayHandler } from "./relay_handler.ts";
import { createEndCounters } from "./count_ends.ts";
import { countStoreCalls } from "./count_store_calls.ts";
import { countLateEvents } from "./count_late_events.ts";
import { countMalformedHeaders } from "./count_malformed_headers.ts";
import { createAdmission } from "./create_admission.ts";
import { createCoordinator, createIncarnation } from "./create_coordinator.ts";
import { createLimits } from "./create_limits.ts";
import { createQuarantine } from "./create_quarantine.ts";
import { createRandom } from "./create_random.ts";
import { drainCallers } from "./drain_callers.ts";
import { followStore } from "./follow_store.ts";
import type { Host, HostOptions } from "./host_options.ts";
import { keepRunning, recordFault } from "./keep_running.ts";
import { limitConnections } from "./limit_connections.ts";
import { createLoadTrackers } from "./load_trackers.ts";
import { measureLag } from "./loop_lag.ts";
import { moveAttempts } from "./move_attempts.ts";
import { OwnDemand } from "./own_demand.ts";
import { createOverloadProtection } from "./overload_protection.ts";
import { proveKeys } from "./prove_keys.ts";
import { recordCall } from "./record_call.ts";
import { StoreContact } from "./store_contact.ts";
import { StoreView } from "./store_view.ts";
import { TargetLists } from "./target_lists.ts";
import { watchLinks } from "./watch_links.ts";

/**
 * Share of the key revocation time from which this process reports that it is
 * not ready, so that callers use other machines.
 */
const READY_KEY_AGE_SHARE = 0.6;
/** Limits that apply until a configuration is known. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
const MAX_HEADER_BYTES = 32 * 1024;
/** Longest time from the loss of the links until this process knows of it. */
const MAX_LOSS_NOTICE_MS = 3_000;
/** Room for what is added to the headers of a relayed request. */
const RELAY_HEADER_BYTES = 1_024;
/** Longer than a predecessor takes to stop. */
const ADDRESS_WAIT_MS = 20_000;

/** Starts the process, which runs until the scope closes. */
export function createHost(
  options: HostOptions,
): Effect.Effect<Host, ListenFailure, Scope.Scope> {
  const { settings, ports, journal } = options;
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => readSteadyMs(clock);
    const wallMs = () => clock.currentTimeMillisUnsafe();
    const record: RecordEvent = (kind, fields) => journal.record(kind, fields);
    const inUse: AddressInUse = {
      waitMs: ADDRESS_WAIT_MS,
      onWait: (message) => record("process.waiting", { message }),
    };
    const random = createRandom();
    const metrics = new MetricsPage();
    const { memoryMb } = settings;
    const protection = createOverloadProtection({
      memoryMb,
      metrics,
      record,
      nowMs,
    });
    const trackers = createLoadTrackers({
      isBehind: (atMs) => protection.lag.isBehind(atMs),
    });
    const contacts = {
      config: new StoreContact({ topic: "config", record }),
      instances: new StoreContact({ topic: "instances", record }),
    };
    const log = yield* countStoreCalls({
      log: new EraTrackingLog(ports.log),
      metrics,
      record,
    });
    const ends = createEndCounters(metrics);
    const demand = new OwnDemand();
    const links = new BackendLinks();
    const quarantine = createQuarantine({ settings, metrics, record });
    const limits = createLimits({
      settings,
      coordinator: () => coordinator,
      metrics,
      record,
    });
    const servers: { callers?: CallerServer } = {};
    const view: StoreView = new StoreView({
      settings,
      ports,
      trackers,
      quarantine,
      limits,
      coordinator: () => coordinator,
      hasTraffic: () => demand.hasTraffic,
      onConfig: ({ limits }) => servers.callers?.setTimeouts(limits),
      metrics,
      record,
      nowMs,
      wallMs,
    });
    const retryBudget: SharedRetryBudget = new SharedRetryBudget({
      share: settings.retryShare,
      slackRequests: settings.retrySlackRequests,
      windowMs: settings.retryWindowMs,
      countMachines: () => coordinator.knownProcesses(),
      sharedTotals: () => coordinator.sharedTotals(),
      totalsLagMs: () =>
        totalsLagMs(coordinator.statusPath, coordinator.statusAgeMs() ?? 0),
      startedAtMs: nowMs(),
      random,
    });
    const coordinator: Coordinator = createCoordinator({
      settings,
      ports,
      log,
      view,
      trackers,
      retryBudget,
      quarantine,
      limits,
      demand,
      links,
      storeAnsweredAtMs: () => contacts.config.answeredAtMs,
      random,
      record,
      nowMs,
    });
    const { config, keys, cold } = view;
    const loops: Readonly<Record<string, Effect.Effect<unknown>>> = {
      coordination: coordinator.run(),
      "counting of processes": cold.run,
      "proof of keys": proveKeys({ log, config, keys, state: view, record }),
      "measuring of lag": measureLag(protection.lag, record),
      "watching of links": watchLinks({
        links,
        instances: view.instances,
        services: () => config.index?.config.services.keys() ?? [],
        control: ports.control,
        isBehind: (atMs) => protection.lag.isBehind(atMs),
        onChange: ({ service, lostMs = 0 }) => {
          trackers.loads.forgetFailures((id) =>
            view.instances.find(id)?.service === service
          );
          quarantine.withdrawLosses(nowMs() - lostMs - MAX_LOSS_NOTICE_MS);
        },
        random,
        record,
      }),
      "moving of requests": moveAttempts({
        ...trackers,
        isBehind: (atMs) => protection.lag.isBehind(atMs),
        nowMs,
        record,
        closedHeads: () => coordinator.listClosedHeads(),
        silentHeads: () => coordinator.listSilentHeads(),
      }),
    };
    const targets = new TargetLists({
      instances: view.instances,
      closedHeads: () => coordinator.listClosedHeads(),
      services: () => config.index?.config.services,
      evacuations: view.zones.evacuations,
      zoneRegions: settings.zoneRegions,
    });
    const pools = new BackendPools();
    const stop = new GracefulStop();
    const dependencies: ServingDependencies = {
      ...protection.dependencies,
      ...trackers,
      codec: ports.codec,
      zone: settings.zone,
      index: () => config.index,
      areKeysFresh: () => keys.isFresh(),
      isConfigCurrent: () => keys.ageMs() <= settings.configApplyMs,
      listTargets: (service, model, homes) =>
        targets.list(service, model, homes),
      admission: createAdmission({
        coordinator,
        loads: trackers.loads,
        metrics,
        // Admission queues do not distinguish home regions.
        listTargets: (service, model) =>
          targets.list(service, model, undefined),
      }),
      isReportedSilent: (headId) =>
        coordinator.listSilentHeads().includes(headId),
      isClosing: (headId) => coordinator.listClosedHeads().includes(headId),
      findExclusionReason: (service, homes) =>
        targets.findExclusionReason(service, homes),
      links,
      gateways: new GatewayChoice({
        gateways: () => coordinator.listGateways(),
        links,
        zone: settings.zone,
        zoneRegions: settings.zoneRegions,
        random,
      }),
      coldLimiter: cold.rateLimiter,
      quarantine,
      suspectLoad: new SuspectLoad(),
      aliveCheck: new AliveCheck({
        probe: ({ instanceId: id, address }) =>
          ports.control.probe({ id, address }).pipe(
            Effect.match({ onSuccess: () => true, onFailure: () => false }),
          ),
      }),
      limits,
      callerTimeouts: new CallerTimeoutTracker(),
      stop,
      retryBudget,
      agentFor: (address) => pools.agentFor(address),
      discardAgent: (address) => pools.discard(address),
      hasConnection: (address) => pools.hasFreeConnection(address),
      random,
      noteDemand: (source, change) => demand.note(source, change),
      noteLeaving: ({ instanceId, bornAtMs }) =>
        view.noteLeaving(createIncarnation(instanceId, bornAtMs)),
      onBackoff: (backoff) => record("instance.backoff", { ...backoff }),
      onMalformedHeaders: countMalformedHeaders({ metrics, record }),
      onAttemptEnded: ends.onAttemptEnded,
      onLateEvent: countLateEvents({ metrics, record }),
      onUnsent: (unsent) => record("caller.unsent", { ...unsent }),
      onFault: (defect) =>
        recordFault({ name: "serving of a request", record }, defect),
      record: (call) => {
        ends.countCall(call);
        recordCall(call, { journal, metrics, known: () => view.known });
      },
    };
    const callers = yield* createCallerServer({
      address: settings.callerAddress,
      dependencies,
      idleTimeoutMs: DEFAULT_IDLE_TIMEOUT_MS,
      headerTimeoutMs: DEFAULT_HEADER_TIMEOUT_MS,
      maxHeaderBytes: MAX_HEADER_BYTES,
      connections: limitConnections(settings, metrics),
      inUse,
    });
    servers.callers = callers;
    const drain = { hasBegun: false };
    const isReady = () =>
      !drain.hasBegun && config.index !== undefined &&
      view.instances.isLoaded && quarantine.isLoaded &&
      keys.ageMs() < settings.keyRevocationMs * READY_KEY_AGE_SHARE;
    yield* listen({
      address: settings.readyAddress,
      inUse,
      handler: (_request, response) => {
        response.writeHead(isReady() ? 200 : 503, { "content-length": 0 });
        response.end();
      },
    });
    yield* listen({
      address: settings.peerAddress,
      inUse,
      handler: createRelayHandler({
        codec: ports.codec,
        calls: callers.relayed,
        others: createPeerHandler(coordinator),
      }),
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      maxHeaderBytes: MAX_HEADER_BYTES + RELAY_HEADER_BYTES,
    });
    addGauges(metrics, { callers, coordinator, config });
    yield* listen({
      address: settings.metricsAddress,
      inUse,
      handler: metrics.handler(),
    });
    // A process takes part in nothing before it has all its addresses.
    yield* followStore({
      log,
      coordinator,
      applyConfig: (change) => view.applyConfig(change),
      keys: view.keys,
      configApplyMs: settings.configApplyMs,
      contacts,
      configOffset: () => view.configCopy.nextOffset,
      instancesOffset: () => view.instancesCopy.nextOffset,
      listAgeMs: () => view.listAgeMs,
      random,
      record,
      applyInstances: (change) => view.applyInstances(change),
      nowMs,
    });
    for (const [name, loop] of Object.entries(loops)) {
      yield* Effect.forkScoped(keepRunning(loop, { name, record }));
    }
    return {
      drain: () => {
        drain.hasBegun = true;
        coordinator.resign();
        return drainCallers({ callers, stop, graceMs: settings.graceMs });
      },
    };
  });
}
