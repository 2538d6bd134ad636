import type { EngineStatus, Instance } from "@celerytray/schema";
import { HashMap } from "effect";
import {
  findReplicaHealth,
  type FleetState,
  type MemberObservation,
  type Replica,
} from "../fleet/index.ts";
import type { PlainInstance, ReadyReplica } from "../forwarding/index.ts";
import { SentLog } from "../routing/index.ts";

/** Sources of the lists of ready back ends. */
export interface ReadyBackendsOptions {
  readonly fleet: () => FleetState;
  readonly instances: () => ReadonlyMap<string, Instance>;
  readonly observations: ReadonlyMap<string, MemberObservation>;
  readonly nowMs: () => number;
  readonly maxAgeMs: number;
}

/** Ready replicas by service, and the time at which they expire. */
interface ReplicaIndex {
  readonly fleet: FleetState;
  readonly instances: ReadonlyMap<string, Instance>;
  readonly expiresAtMs: number;
  readonly byService: ReadonlyMap<string, readonly ReadyReplica[]>;
}

interface LastStatus {
  readonly readinessKey: string;
  readonly observedAtMs: number;
}

interface PlainIndex {
  readonly instances: ReadonlyMap<string, Instance>;
  readonly byService: ReadonlyMap<string, readonly PlainInstance[]>;
}

const REPORT_LAG_MS = 250;

/**
 * Replicas and plain instances that can serve now. The lists are rebuilt only
 * on a change; their elements read the current load at each access.
 */
export class ReadyBackends {
  readonly #options: ReadyBackendsOptions;
  readonly #sentLog = new SentLog({ reportLagMs: REPORT_LAG_MS });
  readonly #lastStatuses = new Map<string, LastStatus>();
  #replicaIndex: ReplicaIndex | undefined;
  #plainIndex: PlainIndex | undefined;

  constructor(options: ReadyBackendsOptions) {
    this.#options = options;
  }

  /** Counts a request sent to a replica's head or to a plain instance. */
  noteSent(replicaId: string): void {
    this.#sentLog.noteSent(replicaId, this.#options.nowMs());
  }

  /**
   * Records a status read from an engine; discards the replica list if
   * readiness may differ.
   */
  noteStatus({ status, observedAtMs }: MemberObservation): void {
    const { assignment, instanceId } = status;
    if (assignment?.rank === 0) {
      this.#sentLog.noteReport(assignment.replicaId, observedAtMs);
    }
    const known = this.#lastStatuses.get(instanceId);
    const readinessKey = createReadinessKey(status);
    this.#lastStatuses.set(instanceId, { readinessKey, observedAtMs });
    const isUnchanged = known?.readinessKey === readinessKey &&
      observedAtMs - known.observedAtMs <= this.#options.maxAgeMs;
    if (!isUnchanged) this.#replicaIndex = undefined;
  }

  /** Ready replicas of a service; the same array until a change. */
  listReplicas(service: string): readonly ReadyReplica[] {
    return this.#findReplicaIndex().byService.get(service) ?? [];
  }

  /**
   * Live instances of a plain service; the same array until the instance list
   * changes.
   */
  listPlain(service: string): readonly PlainInstance[] {
    return this.#findPlainIndex().byService.get(service) ?? [];
  }

  #findReplicaIndex(): ReplicaIndex {
    const { fleet, instances, nowMs } = this.#options;
    const known = this.#replicaIndex;
    const isCurrent = known !== undefined && known.fleet === fleet() &&
      known.instances === instances() && nowMs() <= known.expiresAtMs;
    if (isCurrent) return known;
    const built = this.#buildReplicaIndex();
    this.#replicaIndex = built;
    return built;
  }

  #buildReplicaIndex(): ReplicaIndex {
    const fleet = this.#options.fleet();
    const instances = this.#options.instances();
    const byService = new Map<string, ReadyReplica[]>();
    let expiresAtMs = Infinity;
    for (const replica of HashMap.values(fleet.replicas)) {
      const ready = this.#describeReady(replica);
      if (ready === undefined) continue;
      addTo(byService, { service: replica.service, member: ready });
      expiresAtMs = Math.min(expiresAtMs, this.#findExpiry(replica));
    }
    return { fleet, instances, expiresAtMs, byService };
  }

  /** Time at which a member's oldest observation becomes too old. */
  #findExpiry(replica: Replica): number {
    const { observations, maxAgeMs } = this.#options;
    const times = replica.members.map((member) =>
      observations.get(member)!.observedAtMs + maxAgeMs
    );
    return Math.min(...times);
  }

  #describeReady(replica: Replica): ReadyReplica | undefined {
    const { observations, instances, maxAgeMs } = this.#options;
    const health = findReplicaHealth(replica, {
      observations,
      nowMs: this.#options.nowMs(),
      maxAgeMs,
    });
    const head = instances().get(replica.members[0]!);
    if (health.state !== "ready" || head === undefined) return undefined;
    if (this.#isLeaving(replica)) return undefined;
    const { replicaId, fencingNumber } = replica;
    const { instanceId, address, availabilityZone } = head;
    const sent = this.#sentLog;
    return {
      replicaId,
      fencingNumber,
      headAddress: address,
      availabilityZone,
      get reportedRequests() {
        const status = observations.get(instanceId)?.status;
        if (status === undefined) return 0;
        return status.runningRequests + status.waitingRequests;
      },
      get reportedWaiting() {
        return observations.get(instanceId)?.status.waitingRequests ?? 0;
      },
      get reportedAtMs() {
        return observations.get(instanceId)?.observedAtMs ?? 0;
      },
      get sentSinceReport() {
        return sent.count(replicaId);
      },
    };
  }

  #isLeaving(replica: Replica): boolean {
    const { observations, instances } = this.#options;
    return replica.members.some((member) =>
      instances().get(member)?.state === "leaving" ||
      observations.get(member)?.status.leaving === true
    );
  }

  #findPlainIndex(): PlainIndex {
    const instances = this.#options.instances();
    if (this.#plainIndex?.instances === instances) return this.#plainIndex;
    const byService = new Map<string, PlainInstance[]>();
    for (const instance of instances.values()) {
      const { role, state, service } = instance;
      if (role !== "plain" || state !== "live") continue;
      if (service === undefined) continue;
      addTo(byService, { service, member: this.#describePlain(instance) });
    }
    this.#plainIndex = { instances, byService };
    return this.#plainIndex;
  }

  #describePlain(instance: Instance): PlainInstance {
    const { instanceId, address, availabilityZone } = instance;
    const sent = this.#sentLog;
    return {
      replicaId: instanceId,
      address,
      availabilityZone,
      reportedRequests: 0,
      get sentSinceReport() {
        return sent.count(instanceId);
      },
    };
  }
}

/** Serialises the fields of a status that readiness depends on. */
function createReadinessKey(status: EngineStatus): string {
  const { assignment, state, leaving } = status;
  const { model, modelVersion, loadedRank } = status;
  return JSON.stringify([
    assignment,
    state,
    leaving === true,
    model,
    modelVersion,
    loadedRank,
  ]);
}

function addTo<Member>(
  byService: Map<string, Member[]>,
  entry: { readonly service: string; readonly member: Member },
): void {
  const { service, member } = entry;
  const members = byService.get(service);
  if (members === undefined) byService.set(service, [member]);
  else members.push(member);
}
