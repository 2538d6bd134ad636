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

/** What the lists of ready back ends are worked out from. */
export interface ReadyBackendsOptions {
  readonly fleet: () => FleetState;
  readonly instances: () => ReadonlyMap<string, Instance>;
  readonly observations: ReadonlyMap<string, MemberObservation>;
  readonly nowMs: () => number;
  readonly maxAgeMs: number;
}

/** Ready replicas by service, and until when they hold. */
interface ReplicaIndex {
  readonly fleet: FleetState;
  readonly instances: ReadonlyMap<string, Instance>;
  readonly expiresAtMs: number;
  readonly byService: ReadonlyMap<string, readonly ReadyReplica[]>;
}

interface SeenStatus {
  readonly condition: string;
  readonly observedAtMs: number;
}

interface PlainIndex {
  readonly instances: ReadonlyMap<string, Instance>;
  readonly byService: ReadonlyMap<string, readonly PlainInstance[]>;
}

const REPORT_LAG_MS = 250;

/**
 * Replicas and plain instances that may serve now. The lists are rebuilt on
 * change only; loads in them are read when they are looked at.
 */
export class ReadyBackends {
  readonly #options: ReadyBackendsOptions;
  readonly #sent = new SentLog({ reportLagMs: REPORT_LAG_MS });
  readonly #seen = new Map<string, SeenStatus>();
  #replicaIndex: ReplicaIndex | undefined;
  #plainIndex: PlainIndex | undefined;

  constructor(options: ReadyBackendsOptions) {
    this.#options = options;
  }

  /** Counts a request sent to a replica's leader. */
  noteSent(replicaId: string): void {
    this.#sent.noteSent(replicaId, this.#options.nowMs());
  }

  /** Learns that an engine's status was read. */
  noteStatus({ status, observedAtMs }: MemberObservation): void {
    const { assignment, instanceId } = status;
    if (assignment?.rank === 0) {
      this.#sent.noteReport(assignment.replicaId, observedAtMs);
    }
    const known = this.#seen.get(instanceId);
    const condition = describeCondition(status);
    this.#seen.set(instanceId, { condition, observedAtMs });
    const isSame = known?.condition === condition &&
      observedAtMs - known.observedAtMs <= this.#options.maxAgeMs;
    if (!isSame) this.#replicaIndex = undefined;
  }

  /** The same array for as long as the same replicas are ready. */
  listReplicas(service: string): readonly ReadyReplica[] {
    return this.#findReplicaIndex().byService.get(service) ?? [];
  }

  /** The same array for as long as the instance list stays the same. */
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

  /** When the oldest observation of a member stops counting. */
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
    const leader = instances().get(replica.members[0]!);
    if (health.state !== "ready" || leader === undefined) return undefined;
    if (this.#isLeaving(replica)) return undefined;
    const { replicaId, fencingNumber } = replica;
    const { instanceId, address, availabilityZone } = leader;
    const sent = this.#sent;
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
    const sent = this.#sent;
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

/** The parts of a status that readiness depends on. */
function describeCondition(status: EngineStatus): string {
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
