import type { Instance } from "@celerytray/schema";
import { HashMap } from "effect";
import {
  findReplicaHealth,
  type FleetState,
  type MemberObservation,
  type Replica,
} from "../fleet/index.ts";
import type { PlainInstance, ReadyReplica } from "../forwarding/index.ts";

/** What the lists of ready back ends are worked out from. */
export interface ReadyBackendsOptions {
  readonly fleet: () => FleetState;
  readonly instances: () => ReadonlyMap<string, Instance>;
  readonly observations: ReadonlyMap<string, MemberObservation>;
  readonly nowMs: () => number;
  readonly maxAgeMs: number;
}

/** Replicas and plain instances that may serve now. */
export class ReadyBackends {
  readonly #options: ReadyBackendsOptions;
  readonly #sent = new Map<string, number>();

  constructor(options: ReadyBackendsOptions) {
    this.#options = options;
  }

  /** Counts a request sent to a replica's leader. */
  noteSent(replicaId: string): void {
    this.#sent.set(replicaId, (this.#sent.get(replicaId) ?? 0) + 1);
  }

  /** Starts the count anew when a replica's leader reports its load. */
  noteReport(replicaId: string): void {
    this.#sent.delete(replicaId);
  }

  listReplicas(service: string): ReadyReplica[] {
    const ready: ReadyReplica[] = [];
    for (const replica of HashMap.values(this.#options.fleet().replicas)) {
      if (replica.service !== service) continue;
      const described = this.#describeReady(replica);
      if (described !== undefined) ready.push(described);
    }
    return ready;
  }

  listPlain(service: string): PlainInstance[] {
    const live = [...this.#options.instances().values()].filter((instance) =>
      instance.role === "plain" && instance.service === service &&
      instance.state === "live"
    );
    return live.map((instance) => ({
      replicaId: instance.instanceId,
      address: instance.address,
      availabilityZone: instance.availabilityZone,
      reportedRequests: 0,
      sentSinceReport: this.#sent.get(instance.instanceId) ?? 0,
    }));
  }

  #describeReady(replica: Replica): ReadyReplica | undefined {
    const { observations, instances, maxAgeMs } = this.#options;
    const nowMs = this.#options.nowMs();
    const health = findReplicaHealth(replica, {
      observations,
      nowMs,
      maxAgeMs,
    });
    const leader = instances().get(replica.members[0]!);
    if (health.state !== "ready" || leader === undefined) return undefined;
    if (this.#isLeaving(replica)) return undefined;
    const { status } = observations.get(leader.instanceId)!;
    return {
      replicaId: replica.replicaId,
      fencingNumber: replica.fencingNumber,
      leaderAddress: leader.address,
      availabilityZone: leader.availabilityZone,
      reportedRequests: status.runningRequests + status.waitingRequests,
      sentSinceReport: this.#sent.get(replica.replicaId) ?? 0,
    };
  }

  #isLeaving(replica: Replica): boolean {
    const { observations, instances } = this.#options;
    return replica.members.some((member) =>
      instances().get(member)?.state === "leaving" ||
      observations.get(member)?.status.leaving === true
    );
  }
}
