import { Clock, Effect, type Scope } from "effect";
import { createAdminHandler } from "../admin/index.ts";
import {
  createInstanceDirectory,
  HttpInstanceList,
  HttpModelEngine,
} from "../backends/index.ts";
import {
  type ConfigStream,
  createConfigStream,
  findEntryDrain,
} from "../config/index.ts";
import {
  createEngineMonitor,
  type MemberObservation,
  RepairPlanner,
  runFleetController,
} from "../fleet/index.ts";
import { createCallerHandler, InFlightCalls } from "../forwarding/index.ts";
import { listen, type ListenFailure } from "../http/index.ts";
import { createLogWriter, HttpLogService } from "../log/index.ts";
import { selectPreferred } from "../membership/index.ts";
import type { ResolvedEntrySettings, Secrets } from "../settings/index.ts";
import { Timeline, type TimelineFields } from "../timeline/index.ts";
import { createEntryAdmission } from "./entry_admission.ts";
import { createAttemptState } from "./entry_attempts.ts";
import { createEntryClaims } from "./entry_claims.ts";
import { createEntryFleet } from "./entry_fleet.ts";
import { createEntryMembership } from "./entry_membership.ts";
import { runEntryMetrics } from "./entry_metrics.ts";
import { createEntryOperations } from "./entry_operations.ts";
import { createEntryRouting } from "./entry_routing.ts";
import { LeavingDirectory } from "./leaving_directory.ts";
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
    const config = yield* createConfigStream({
      log,
      onChange: ({ version }, atMs) =>
        timeline.record("config.in-force", {
          detail: `version ${version}`,
          nowMs: atMs,
        }),
    });
    const configWriter = yield* createLogWriter({ log, stream: "config" });
    const fleetWriter = yield* createLogWriter({ log, stream: "fleet" });
    const claims = yield* createEntryClaims({
      log,
      processId: settings.instanceId,
      partitionCount: settings.claimPartitionCount,
      policy: settings.claimPolicy,
      appendsPerSecond: settings.claimAppendsPerSecond,
    });

    const directory = yield* createInstanceDirectory({
      list: new HttpInstanceList({ url: settings.instanceListUrl }),
      intervalMs: settings.instanceListIntervalMs,
    });
    const { membership, peers, transport } = yield* createEntryMembership({
      settings,
      secrets,
      log,
      config,
      directory,
      timeline,
    });
    const isPreferred = (name: string) =>
      selectPreferred(name, membership.listLiveIds()) === settings.instanceId;
    const fleet = yield* createEntryFleet({
      log,
      isPreferred: () => isPreferred("snapshots"),
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
    const instances = new LeavingDirectory({
      directory,
      config,
      membership,
      observations: monitor.observations,
      nowMs,
    });
    const backends = new ReadyBackends({
      fleet: fleet.current,
      instances: instances.byId,
      observations: monitor.observations,
      nowMs,
      maxAgeMs: maxObservationAgeMs,
    });
    reports.note = (observation) => backends.noteStatus(observation);

    yield* runFleetController({
      processId: settings.instanceId,
      intervalMs: settings.planIntervalMs,
      maxConcurrentLoads: settings.maxConcurrentLoads,
      planner: new RepairPlanner(),
      engine,
      writer: fleetWriter,
      view: fleet,
      config: () => config.current().config,
      listInstances: instances.all,
      instancesById: instances.byId,
      observations: monitor.observations,
      isPreferred,
      recordEvent,
    });

    const drainState = { isDraining: false };
    const notReadyReason = () =>
      findNotReadyReason(config, drainState) ??
        describeEntryDrain(config, settings) ??
        membership.findIsolationReason(nowMs()) ??
        fleet.failedReason();
    const calls = new InFlightCalls();
    yield* runEntryMetrics({
      settings,
      config,
      membership,
      calls,
      timeline,
      notReadyReason,
    });
    yield* listen({
      address: settings.listenAddress,
      handlesContinue: true,
      handler: createCallerHandler({
        availabilityZone: settings.availabilityZone,
        maxBodyBytes: settings.maxBodyBytes,
        ...createAttemptState(),
        ...createEntryRouting({
          nowMs,
          countEntries: () => membership.listLiveIds().length,
        }),
        ...createEntryAdmission({
          nowMs,
          countEntries: () => membership.listLiveIds().length,
          demand: membership.demand,
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
        peers,
        operations: createEntryOperations({
          settings,
          config,
          fleet,
          directory,
          membership,
          transport,
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
          return Effect.andThen(membership.leave(), calls.waitUntilEmpty());
        }),
    };
  });
}

function findNotReadyReason(
  config: ConfigStream,
  drainState: { readonly isDraining: boolean },
): string | undefined {
  if (drainState.isDraining) return "it shuts down";
  const problem = config.startProblem();
  if (problem !== undefined) return problem;
  if (config.current().version === 0) return "it has no configuration yet";
  return undefined;
}

function describeEntryDrain(
  config: ConfigStream,
  settings: ResolvedEntrySettings,
): string | undefined {
  const drain = findEntryDrain(config.current().config, settings);
  return drain === undefined ? undefined : `it is drained by ${drain}`;
}
