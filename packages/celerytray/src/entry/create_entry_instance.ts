import type { Instance } from "@celerytray/schema";
import { Clock, Effect, type Scope } from "effect";
import { Agent } from "node:http";
import { createAdminHandler } from "../admin/index.ts";
import {
  createInstanceDirectory,
  HttpInstanceList,
  HttpModelEngine,
  type InstanceDirectory,
} from "../backends/index.ts";
import {
  type ConfigState,
  emptyConfigState,
  foldConfigRecord,
} from "../config/index.ts";
import {
  createEngineMonitor,
  emptyFleetState,
  foldFleetRecord,
  GreedyPlanner,
  type MemberObservation,
  runFleetController,
} from "../fleet/index.ts";
import { createCallerHandler, InFlightCalls } from "../forwarding/index.ts";
import { listen, type ListenFailure } from "../http/index.ts";
import {
  createLogWriter,
  createStreamView,
  HttpLogService,
  type StreamView,
} from "../log/index.ts";
import { selectPreferred } from "../membership/index.ts";
import type { ResolvedEntrySettings, Secrets } from "../settings/index.ts";
import { Timeline, type TimelineFields } from "../timeline/index.ts";
import { createEntryAdmission } from "./entry_admission.ts";
import { createEntryClaims } from "./entry_claims.ts";
import { createEntryOperations } from "./entry_operations.ts";
import { createEntryRouting } from "./entry_routing.ts";
import { ReadyBackends } from "./ready_backends.ts";

/** Options of an entry instance. */
export interface EntryInstanceOptions {
  readonly settings: ResolvedEntrySettings;
  readonly secrets: Secrets;
}

/** A running entry instance. */
export interface EntryInstance {
  /** Takes no new requests and waits until those in flight have ended. */
  readonly drain: () => Effect.Effect<void>;
}

/** Rounds of status readings that may be missed before a member counts as absent. */
const MISSED_STATUS_ROUNDS = 2.5;

/** Starts an entry instance that runs until the scope closes. */
export function createEntryInstance(
  options: EntryInstanceOptions,
): Effect.Effect<EntryInstance, ListenFailure, Scope.Scope> {
  const { settings, secrets } = options;
  return Effect.gen(function* () {
    const runtime = yield* Effect.context<never>();
    const clock = yield* Clock.Clock;
    const nowMs = () => clock.currentTimeMillisUnsafe();
    const timeline = new Timeline({ process: settings.instanceId });
    const recordEvent = (kind: string, fields: TimelineFields) =>
      Effect.sync(() => timeline.record(kind, { ...fields, nowMs: nowMs() }));

    const log = new HttpLogService({ url: settings.logUrl });
    const config = yield* createStreamView({
      log,
      stream: "config",
      initial: emptyConfigState(),
      fold: foldConfigRecord,
      onChange: ({ version }, atMs) =>
        timeline.record("config.in-force", {
          detail: `version ${version}`,
          nowMs: atMs,
        }),
    });
    const fleet = yield* createStreamView({
      log,
      stream: "fleet",
      initial: emptyFleetState(),
      fold: foldFleetRecord,
    });
    const configWriter = yield* createLogWriter({ log, stream: "config" });
    const fleetWriter = yield* createLogWriter({ log, stream: "fleet" });
    const claims = yield* createEntryClaims({
      log,
      processId: settings.instanceId,
      partitionCount: settings.claimPartitionCount,
    });

    const directory = yield* createInstanceDirectory({
      list: new HttpInstanceList({ url: settings.instanceListUrl }),
      intervalMs: settings.instanceListIntervalMs,
    });
    const engine = new HttpModelEngine();
    const reports = { note: (_observation: MemberObservation): void => {} };
    const monitor = yield* createEngineMonitor({
      engine,
      listInstances: directory.all,
      intervalMs: settings.statusIntervalMs,
      onStatus: (observation) => reports.note(observation),
    });
    const maxObservationAgeMs = settings.statusIntervalMs *
      MISSED_STATUS_ROUNDS;
    const backends = new ReadyBackends({
      fleet: fleet.current,
      instances: directory.byId,
      observations: monitor.observations,
      nowMs,
      maxAgeMs: maxObservationAgeMs,
    });
    reports.note = (observation) => backends.noteStatus(observation);

    yield* runFleetController({
      processId: settings.instanceId,
      intervalMs: settings.planIntervalMs,
      planner: new GreedyPlanner(),
      engine,
      writer: fleetWriter,
      view: fleet,
      config: () => config.current().config,
      listInstances: directory.all,
      instancesById: directory.byId,
      observations: monitor.observations,
      isPreferred: (name) =>
        selectPreferred(name, listEntryIds(directory)) === settings.instanceId,
      recordEvent,
    });

    const drainState = { isDraining: false };
    const notReadyReason = () => findNotReadyReason(config, drainState);
    const calls = new InFlightCalls();
    yield* listen({
      address: settings.listenAddress,
      handler: createCallerHandler({
        availabilityZone: settings.availabilityZone,
        maxBodyBytes: settings.maxBodyBytes,
        agent: new Agent({ keepAlive: true }),
        ...createEntryRouting({
          nowMs,
          countEntries: () => listEntryIds(directory).length,
        }),
        ...createEntryAdmission({
          entryId: settings.instanceId,
          listEntryIds: () => listEntryIds(directory),
          config: () => config.current().config,
          countReadyReplicas: (name) => backends.listReplicas(name).length,
        }),
        claims,
        calls,
        config: () => config.current().config,
        notReadyReason,
        listReadyReplicas: (service) => backends.listReplicas(service),
        listPlainInstances: (service) => backends.listPlain(service),
        noteSent: (replicaId) => backends.noteSent(replicaId),
        recordEvent,
      }, runtime),
    });
    yield* listen({
      address: settings.adminAddress,
      handler: createAdminHandler({
        secrets,
        runtime,
        operations: createEntryOperations({
          settings,
          config,
          fleet,
          configWriter,
          observations: monitor.observations,
          backends,
          calls,
          timeline,
          maxObservationAgeMs,
          notReadyReason,
        }),
      }),
    });
    return {
      drain: () =>
        Effect.suspend(() => {
          drainState.isDraining = true;
          return calls.waitUntilEmpty();
        }),
    };
  });
}

const entryIdsByList = new WeakMap<readonly Instance[], readonly string[]>();

function listEntryIds(directory: InstanceDirectory): readonly string[] {
  const instances = directory.all();
  const known = entryIdsByList.get(instances);
  if (known !== undefined) return known;
  const entryIds = instances
    .filter(({ role, state }) => role === "entry" && state === "live")
    .map(({ instanceId }) => instanceId);
  entryIdsByList.set(instances, entryIds);
  return entryIds;
}

function findNotReadyReason(
  config: StreamView<ConfigState>,
  drainState: { readonly isDraining: boolean },
): string | undefined {
  if (drainState.isDraining) return "it shuts down";
  if (config.current().version === 0) return "it has no configuration yet";
  return undefined;
}
