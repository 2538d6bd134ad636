import { randomUUID } from "node:crypto";
import {
  Coordinator,
  LEADER_GENERATION,
  PeerClient,
} from "../coordination/index.ts";
import {
  findReaches,
  type LeavingIncarnation,
  ReplicaController,
} from "../groups/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import {
  decodeRelayedChange,
  decodeRelayedRecord,
  type KeyedLog,
} from "../keyed_log/index.ts";
import type {
  BackendLinks,
  CrashQuarantine,
  InstanceLimits,
  SharedRetryBudget,
} from "../serving/index.ts";
import type { HostOptions } from "./host_options.ts";
import type { LoadTrackers } from "./load_trackers.ts";
import type { OwnDemand } from "./own_demand.ts";
import type { StoreView } from "./store_view.ts";

/** Age up to which an event shows that all members of its replica work. */
const MAX_PROGRESS_AGE_MS = 1_000;

/** Dependencies of the coordinator of a process. */
export interface CoordinatorSources
  extends Pick<HostOptions, "settings" | "ports"> {
  readonly log: KeyedLog;
  readonly view: StoreView;
  readonly trackers: LoadTrackers;
  readonly retryBudget: SharedRetryBudget;
  readonly quarantine: CrashQuarantine;
  readonly limits: InstanceLimits;
  readonly demand: OwnDemand;
  readonly links: BackendLinks;
  /** Time of the store's last response to this process. */
  readonly storeAnsweredAtMs: () => number;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
  readonly record: RecordEvent;
  readonly nowMs: () => number;
}

/** Creates the coordinator of a process, which leads or follows the leader. */
export function createCoordinator(sources: CoordinatorSources): Coordinator {
  const { settings, ports, view, trackers, demand, links, record, nowMs } =
    sources;
  const { stalls, paces, backoffs } = trackers;
  const hasWritten = (headId: string) =>
    nowMs() - (stalls.progressedAtMs(headId) ?? Number.NEGATIVE_INFINITY) <
      MAX_PROGRESS_AGE_MS;
  const isLost = (service: string | undefined) =>
    service !== undefined && links.isLost(service);
  const coordinator = new Coordinator({
    ...sources,
    self: {
      nodeId: settings.nodeId,
      peerAddress: settings.peerAddress,
      zone: settings.zone,
      cores: settings.cores,
      servesOthers: true,
    },
    bootId: randomUUID(),
    generation: LEADER_GENERATION,
    client: new PeerClient(),
    // Heads that this process doesn't reach say nothing of the heads.
    listStalledHeads: () =>
      stalls.findSuspected(nowMs()).map(({ instanceId }) => instanceId)
        .filter((id) => !isLost(view.instances.find(id)?.service)),
    listLostServices: () => links.listLost(),
    hasLostReplicas: () =>
      links.listLost().some((service) => view.engines.has(service)),
    retryWindowMs: settings.retryWindowMs,
    retryTotals: () => sources.retryBudget.listTotals(nowMs()),
    listSlowHeads: () => paces.listSlow(nowMs()),
    demand: () => demand.byModel,
    tenantDemand: () => demand.byTenant,
    hasTraffic: () => demand.hasTraffic,
    config: {
      copy: view.configCopy,
      provenAtMs: () => view.keys.provenAtMs,
      onRelayed: (change, freshAtMs) =>
        view.applyConfig({ ...decodeRelayedChange(change), freshAtMs }),
    },
    configInForce: {
      version: () => view.config.version,
      earlierRecord: () => view.config.earlierRecord,
      onOffered: (record) => view.config.offer(decodeRelayedRecord(record)),
    },
    instances: {
      copy: view.instancesCopy,
      provenAtMs: () => view.listProvenAtMs,
      eraStart: () => view.instances.eraStart,
      onRelayed: (change, freshAtMs, eraStart) =>
        view.applyInstances({
          ...decodeRelayedChange(change),
          freshAtMs,
          ...(eraStart === undefined ? {} : { eraStart }),
        }),
    },
    listLeaving: () => view.instances.listUnconfirmedLeaving(),
    onLeaving: (incarnations) =>
      incarnations.forEach((incarnation) => view.noteLeaving(incarnation)),
    losses: {
      isListLoaded: () => view.instances.isLoaded,
      findInstance: (id) => view.instances.find(id),
      probe: (instance) => ports.control.probe(instance),
    },
    findReaches: (instances) =>
      findReaches(instances, {
        instances: view.instances,
        control: ports.control,
        hasWritten,
        random: sources.random,
      }),
    createController: (start) =>
      new ReplicaController({
        ...start,
        instances: view.instances,
        control: ports.control,
        hasWritten,
        engines: () => view.engines,
        demand: (model) => coordinator.totalDemand(model),
        hasTraffic: () => coordinator.hasAnyTraffic(),
        drainMs: settings.drainMs,
        longestCallMs: (service) => view.longestCalls.findMs(service, nowMs()),
        onColdReported: view.cold.noteReported,
        isEvacuated: (zone) => view.zones.evacuations.isEvacuated(zone),
        isBackingOff: (instanceId) =>
          backoffs.isBackingOff(instanceId, nowMs()),
        onLeaving: (instanceId) => {
          const bornAtMs = view.instances.find(instanceId)?.bornAtMs;
          view.noteLeaving(createIncarnation(instanceId, bornAtMs));
        },
        record,
      }),
  });
  return coordinator;
}

/** Describes an incarnation of an instance; its start time may be unknown. */
export function createIncarnation(
  instanceId: string,
  bornAtMs: number | undefined,
): LeavingIncarnation {
  return bornAtMs === undefined ? { instanceId } : { instanceId, bornAtMs };
}
