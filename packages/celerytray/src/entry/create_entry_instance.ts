import { Clock, Effect, type Scope } from "effect";
import type { Server } from "node:http";
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
import { RepairPlanner, runFleetController } from "../fleet/index.ts";
import {
  createCallerHandler,
  type ForwardingClaims,
  InFlightCalls,
} from "../forwarding/index.ts";
import { listen, type ListenFailure } from "../http/index.ts";
import { createLogWriter, HttpLogService } from "../log/index.ts";
import { selectPreferred } from "../membership/index.ts";
import type { ResolvedEntrySettings, Secrets } from "../settings/index.ts";
import { Timeline, type TimelineFields } from "../timeline/index.ts";
import { createEntryAdmission } from "./entry_admission.ts";
import { createAttemptState } from "./entry_attempts.ts";
import { createEntryBackends } from "./entry_backends.ts";
import { createEntryClaims } from "./entry_claims.ts";
import { createEntryFleet } from "./entry_fleet.ts";
import { createEntryMembership } from "./entry_membership.ts";
import { runEntryMetrics } from "./entry_metrics.ts";
import { createEntryOperations } from "./entry_operations.ts";
import type { EntryParts } from "./entry_parts.ts";
import { createEntryRouting } from "./entry_routing.ts";

/** Options of an entry instance. */
export interface EntryInstanceOptions {
  readonly settings: ResolvedEntrySettings;
  readonly secrets: Secrets;
}

/** A running entry instance. */
export interface EntryInstance {
  /** Refuses new requests and waits until those in flight have ended. */
  readonly drain: () => Effect.Effect<void>;
}

/** Starts an entry instance that runs until the scope closes. */
export function createEntryInstance(
  options: EntryInstanceOptions,
): Effect.Effect<EntryInstance, ListenFailure, Scope.Scope> {
  const { settings, secrets } = options;
  return Effect.gen(function* () {
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
    const backends = yield* createEntryBackends({
      engine,
      directory,
      config,
      membership,
      fleet,
      statusIntervalMs: settings.statusIntervalMs,
    });
    yield* runFleetController({
      processId: settings.instanceId,
      intervalMs: settings.planIntervalMs,
      maxConcurrentLoads: settings.maxConcurrentLoads,
      planner: new RepairPlanner(),
      engine,
      writer: fleetWriter,
      view: fleet,
      config: () => config.current().config,
      listInstances: backends.instances.all,
      instancesById: backends.instances.byId,
      observations: backends.observations,
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
    const parts: EntryParts = {
      settings,
      config,
      fleet,
      directory,
      membership,
      transport,
      configWriter,
      observations: backends.observations,
      backends: backends.ready,
      calls,
      timeline,
      maxObservationAgeMs: backends.maxObservationAgeMs,
      notReadyReason,
    };
    yield* listenToCallers(parts, { claims, recordEvent });
    yield* listen({
      address: settings.adminAddress,
      handler: createAdminHandler({
        secrets,
        runtime: yield* Effect.context<never>(),
        peers,
        operations: createEntryOperations(parts),
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

interface CallerOptions {
  readonly claims: ForwardingClaims;
  readonly recordEvent: (
    kind: string,
    fields: TimelineFields,
  ) => Effect.Effect<void>;
}

function listenToCallers(
  parts: EntryParts,
  { claims, recordEvent }: CallerOptions,
): Effect.Effect<Server, ListenFailure, Scope.Scope> {
  const { settings, membership, backends, calls, notReadyReason } = parts;
  const config = () => parts.config.current().config;
  const countEntries = () => membership.listLiveIds().length;
  return Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => clock.currentTimeMillisUnsafe();
    const handler = createCallerHandler({
      availabilityZone: settings.availabilityZone,
      maxBodyBytes: settings.maxBodyBytes,
      ...createAttemptState(),
      ...createEntryRouting({ nowMs, countEntries }),
      ...createEntryAdmission({
        nowMs,
        countEntries,
        demand: membership.demand,
        config,
        countReadyReplicas: (name) => backends.listReplicas(name).length,
      }),
      claims,
      calls,
      config,
      notReadyReason,
      listReadyReplicas: (service) => backends.listReplicas(service),
      listPlainInstances: (service) => backends.listPlain(service),
      noteSent: (replicaId) => backends.noteSent(replicaId),
      recordEvent,
    }, yield* Effect.context<never>());
    return yield* listen({
      address: settings.listenAddress,
      handlesContinue: true,
      handler,
    });
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
