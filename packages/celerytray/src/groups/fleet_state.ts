import type { InstanceListView } from "./instance_list.ts";
import type { InstanceState } from "./instance_state.ts";
import { Departures } from "./departures.ts";
import { InstanceWeights } from "./instance_weights.ts";
import { LivenessTracker } from "./liveness_tracker.ts";
import { PaceWatch } from "./pace_watch.ts";
import type { ReplicaRecord } from "./replica_record.ts";
import type { ReplicaRun } from "./replica_run.ts";

/** What the process that decides knows of replicas and instances. */
export class FleetState {
  readonly instances: InstanceListView;
  readonly runs = new Map<string, ReplicaRun>();
  readonly liveness = new LivenessTracker();
  readonly paces = new PaceWatch();
  readonly weights: InstanceWeights;
  readonly departures = new Departures(this.runs);
  readonly #isEvacuated: (zone: string) => boolean;
  /** Newest place in the log that orders follow from. */
  fence: number;

  constructor(options: {
    readonly instances: InstanceListView;
    readonly term: number;
    readonly replicas: readonly ReplicaRecord[];
    readonly isEvacuated?: (zone: string) => boolean;
  }) {
    this.instances = options.instances;
    this.#isEvacuated = options.isEvacuated ?? (() => false);
    this.fence = options.term;
    this.weights = new InstanceWeights({
      startsFilled: options.replicas.length > 0,
    });
    for (const record of options.replicas) {
      const run = createRun(record);
      // The process that decided before may have told the head to open.
      run.mayBeOpen = true;
      this.runs.set(record.name, run);
    }
  }

  /** Adds a replica that was decided now. */
  addReplica(record: ReplicaRecord): void {
    this.fence = Math.max(this.fence, record.epoch);
    this.runs.set(record.name, createRun(record));
  }

  /** Replicas of a service that are neither taken apart nor evacuated. */
  listServing(service: string): readonly ReplicaRun[] {
    return [...this.runs.values()].filter((run) =>
      run.record.service === service && run.retiring === undefined &&
      !this.isEvacuated(run)
    );
  }

  /** Whether the head of a replica is in an evacuated zone. */
  isEvacuated({ record }: ReplicaRun): boolean {
    const zone = this.findLatest(record.members[0]!)?.zone;
    return zone !== undefined && this.#isEvacuated(zone);
  }

  /** Replicas of a service that serve or are to serve. */
  listWanted(service: string): readonly ReplicaRecord[] {
    return this.listServing(service).map(({ record }) => record);
  }

  /** Instances of a service that are in no replica and may be used. */
  listFree(service: string): readonly InstanceState[] {
    const used = this.memberIds();
    return this.instances.list().filter((instance) =>
      instance.service === service && !instance.isDraining &&
      !this.#isEvacuated(instance.zone) &&
      !used.has(instance.id) &&
      !this.liveness.isDoubted(instance.id) &&
      !this.paces.isSlow(instance.id) &&
      instance.domain !== undefined &&
      !this.departures.mayServe(instance) &&
      !this.departures.isStray(instance)
    );
  }

  /** Members of the replicas of a head that are not taken apart. */
  listMembersOf(headId: string): readonly string[] {
    return [...this.runs.values()]
      .filter(({ record, retiring }) =>
        record.members[0] === headId && retiring === undefined
      )
      .flatMap(({ record }) => record.members);
  }

  memberIds(): ReadonlySet<string> {
    return new Set(
      [...this.runs.values()].flatMap(({ record }) => record.members),
    );
  }

  /** Open heads without a record. */
  listOrphans(): readonly InstanceState[] {
    return this.instances.list().filter((instance) =>
      this.departures.isOrphan(instance)
    );
  }

  isAlive(instanceId: string): boolean {
    return this.liveness.livenessOf(instanceId).kind === "alive";
  }

  /** Last known state of an instance. */
  findLatest(id: string): InstanceState | undefined {
    return this.instances.find(id) ?? this.instances.findAbsent(id)?.state;
  }

  /** Where an instance is or last was. */
  findAddress(id: string): string | undefined {
    const address = this.findLatest(id)?.address;
    if (address !== undefined) return address;
    for (const { record } of this.runs.values()) {
      const incarnation = record.incarnations[id];
      if (incarnation !== undefined) return incarnation.address;
    }
    return undefined;
  }
}

function createRun(record: ReplicaRecord): ReplicaRun {
  return {
    record,
    joinedIds: new Set(),
    readyIds: new Set(),
    leftIds: new Set(),
    mayBeOpen: false,
  };
}
