import { eraOf, type LogPosition } from "../keyed_log/index.ts";
import type { InstanceListView } from "./instance_list.ts";
import type { InstanceState } from "./instance_state.ts";
import { DepartureTracker } from "./departure_tracker.ts";
import { InstanceWeights } from "./instance_weights.ts";
import { LivenessTracker } from "./liveness_tracker.ts";
import { SlowInstanceTracker } from "./slow_instance_tracker.ts";
import type { ReplicaRecord } from "./replica_record.ts";
import type { ReplicaRun } from "./replica_progress.ts";

/** What the leader knows about replicas and instances. */
export class ControllerState {
  readonly instances: InstanceListView;
  readonly runs = new Map<string, ReplicaRun>();
  readonly liveness = new LivenessTracker();
  readonly slowInstances = new SlowInstanceTracker();
  readonly weights: InstanceWeights;
  readonly departures = new DepartureTracker(this.runs);
  readonly #isEvacuated: (zone: string) => boolean;
  readonly #term: LogPosition;
  /**
   * Names of replicas that get no record again, as they were retired or lack
   * members.
   */
  readonly #givenUpNames: Set<string>;
  /** Fencing number of orders: the newest term or epoch. */
  fencingNumber: LogPosition;

  constructor(options: {
    readonly instances: InstanceListView;
    readonly term: LogPosition;
    readonly replicas: readonly ReplicaRecord[];
    readonly retiredNames?: readonly string[];
    readonly isEvacuated?: (zone: string) => boolean;
    /** Times since which instances have not answered this process. */
    readonly silentSinceMs?: ReadonlyMap<string, number>;
  }) {
    this.instances = options.instances;
    this.#isEvacuated = options.isEvacuated ?? (() => false);
    this.#term = options.term;
    this.#givenUpNames = new Set(options.retiredNames);
    this.fencingNumber = options.term;
    this.weights = new InstanceWeights({
      startsComplete: options.replicas.length > 0,
    });
    for (const [id, sinceMs] of options.silentSinceMs ?? []) {
      this.liveness.noteSuspected(id, sinceMs);
    }
    for (const record of options.replicas) {
      const run = createRun(record);
      // The previous leader may have ordered the head to open.
      run.mayBeOpen = true;
      this.runs.set(record.name, run);
    }
  }

  /** Adds a replica whose record was just stored. */
  addReplica(record: ReplicaRecord): void {
    this.fencingNumber = Math.max(this.fencingNumber, record.epoch);
    this.runs.set(record.name, createRun(record));
  }

  /** Replicas of a service that are neither retiring nor evacuated. */
  listActive(service: string): readonly ReplicaRun[] {
    return [...this.runs.values()].filter((run) =>
      run.record.service === service && run.retirement === undefined &&
      !this.isEvacuated(run)
    );
  }

  /** Whether the head of a replica is in an evacuated zone. */
  isEvacuated({ record }: ReplicaRun): boolean {
    const zone = this.findLatest(record.members[0]!)?.zone;
    return zone !== undefined && this.#isEvacuated(zone);
  }

  /** Records of a service's replicas that serve or are being formed. */
  listActiveRecords(service: string): readonly ReplicaRecord[] {
    return this.listActive(service).map(({ record }) => record);
  }

  /** Instances of a service that are in no replica and can join one. */
  listFree(service: string, nowMs: number): readonly InstanceState[] {
    const used = this.memberIds();
    return this.instances.list().filter((instance) =>
      instance.service === service && !instance.isDraining &&
      !this.#isEvacuated(instance.zone) &&
      !used.has(instance.id) &&
      this.instances.isSettled(instance.id, nowMs) &&
      !this.liveness.isSuspected(instance.id) &&
      !this.slowInstances.isSlow(instance.id) &&
      instance.domain !== undefined &&
      !this.departures.mayBeOpenHead(instance) &&
      !this.departures.isOrphaned(instance) &&
      !this.awaitsRecord(instance) &&
      !this.#hasLaterMembership(instance)
    );
  }

  /** Members of the replicas with this head that are not retiring. */
  listMembersOf(headId: string): readonly string[] {
    return [...this.runs.values()]
      .filter(({ record, retirement }) =>
        record.members[0] === headId && retirement === undefined
      )
      .flatMap(({ record }) => record.members);
  }

  memberIds(): ReadonlySet<string> {
    return new Set(
      [...this.runs.values()].flatMap(({ record }) => record.members),
    );
  }

  /** Open heads of replicas that have no record and get none. */
  listOrphans(): readonly InstanceState[] {
    return this.instances.list().filter((instance) =>
      this.departures.isOrphanHead(instance) &&
      !this.#hasLaterMembership(instance) && !this.awaitsRecord(instance)
    );
  }

  /** Heads of replicas without a record that have closed and not left. */
  listClosedOrphans(): readonly InstanceState[] {
    return this.instances.list().filter((instance) =>
      this.departures.isClosedOrphan(instance) && this.isAlive(instance.id)
    );
  }

  /**
   * Members, except heads, of replicas that have no record and get none. Those
   * of a head that still serves stay with it.
   */
  listOrphanedMembers(): readonly InstanceState[] {
    const instances = this.instances.list();
    const servedNames = new Set(
      instances.filter((instance) =>
        instance.membership?.rank === 0 && !this.#isLost(instance.id) &&
        this.departures.mayBeOpenHead(instance)
      ).map(({ membership }) => membership!.replica),
    );
    return instances.filter((instance) =>
      this.departures.isOrphaned(instance) &&
      !servedNames.has(instance.membership!.replica) &&
      !this.#hasLaterMembership(instance) && !this.awaitsRecord(instance)
    );
  }

  /**
   * Whether an instance is in a replica whose record may have been lost when
   * the store came back from an older copy: it has none, and was recorded in an
   * era before this term.
   */
  awaitsRecord({ membership }: InstanceState): boolean {
    return membership !== undefined && !this.runs.has(membership.replica) &&
      !this.#givenUpNames.has(membership.replica) &&
      eraOf(membership.epoch) < eraOf(this.#term);
  }

  /** Lets a replica without a record be dissolved. */
  giveUp(name: string): void {
    this.#givenUpNames.add(name);
  }

  /**
   * Whether an instance is in a replica that was recorded after everything that
   * this leader knows, which only a later leader can have done.
   */
  get hasLaterReplicas(): boolean {
    return this.instances.list().some((instance) =>
      this.#hasLaterMembership(instance)
    );
  }

  #hasLaterMembership({ membership }: InstanceState): boolean {
    return (membership?.epoch ?? 0) > this.fencingNumber;
  }

  isAlive(instanceId: string): boolean {
    return this.liveness.livenessOf(instanceId).kind === "alive";
  }

  #isLost(instanceId: string): boolean {
    const { kind } = this.liveness.livenessOf(instanceId);
    return kind === "lost" || kind === "ended";
  }

  /** Last known state of an instance. */
  findLatest(id: string): InstanceState | undefined {
    return this.instances.find(id) ?? this.instances.findRemoved(id)?.state;
  }

  /** Current or last known address of an instance. */
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
