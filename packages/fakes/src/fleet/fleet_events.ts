import type { Coordinator } from "celerytray";
import type { FakeKeyedStore } from "../store/index.ts";
import type { PausableClock } from "../coordination/pausable_clock.ts";
import type { FakeFleet } from "./fake_fleet.ts";

/** Fabric domains of the simulated fleet. */
export const DOMAINS = ["d0", "d1"];
const SLOW_PACE = 4;

/** An event of a fleet, its store or the processes that control it. */
export type FleetEvent =
  | { readonly kind: "kill-instance"; readonly index: number }
  | { readonly kind: "kill-head"; readonly index: number }
  | { readonly kind: "late-orders"; readonly fraction: number }
  /** A head and some of its members become unreachable. */
  | {
    readonly kind: "partition";
    readonly index: number;
    readonly members: number;
  }
  /** A member of a replica becomes slow. */
  | { readonly kind: "slow"; readonly index: number }
  /** An instance drains, or a new one arrives in a domain. */
  | { readonly kind: "drain" | "arrive"; readonly index: number }
  /** A member other than the head drains, and no spare is left. */
  | { readonly kind: "drain-without-spare" }
  /** A head's answer says that it is leaving; the instance list doesn't. */
  | { readonly kind: "report-leaving" }
  /** Some of the unreachable instances become reachable again. */
  | { readonly kind: "reconnect"; readonly members: number }
  | { readonly kind: "store-out" | "store-restored" | "store-loses-answers" }
  /** The leader can't reach the store, but can reach other processes. */
  | { readonly kind: "partition-leader-from-store" }
  /** The leader can't reach the instances, but all else can. */
  | {
    readonly kind: "partition-leader-from-fleet";
    /** Whether its connections are refused rather than lost. */
    readonly isRefused: boolean;
  }
  /** The zone of a domain is evacuated, or its evacuation ends. */
  | { readonly kind: "evacuate" | "restore"; readonly index: number }
  | {
    readonly kind: "kill-leader" | "partition-leader" | "heal" | "reset-pace";
  };

/** A process that can control a fleet as the leader. */
export interface FleetProcess {
  readonly nodeId: string;
  readonly coordinator: Coordinator;
  readonly clock: PausableClock;
  /** Instances that it alone doesn't reach. */
  readonly unreachedIds: Set<string>;
  /** Marks an instance as leaving, as an answer of it would. */
  readonly noteLeaving: (instanceId: string) => void;
  isPartitioned: boolean;
  /** Whether it can't reach the store, but can reach other processes. */
  isStorePartitioned: boolean;
  /** How it fails to reach the instances; undefined while it reaches them. */
  fleetPartition: "refused" | "unreachable" | undefined;
  /**
   * Long polls, reads that wait for a record, that got no answer; undefined
   * while they are answered.
   */
  lostLongPollCount: number | undefined;
  /** Its orders that instances refused as outdated. */
  refusedOrderCount: number;
  isTerminated: boolean;
}

/** What events act on. */
export interface EventTargets {
  readonly fleet: FakeFleet;
  readonly store: FakeKeyedStore;
  readonly findLeader: () => FleetProcess | undefined;
  readonly processes: readonly FleetProcess[];
  /** Evacuated zones. */
  readonly evacuated: Set<string>;
}

export function applyEvent(event: FleetEvent, targets: EventTargets): void {
  const { fleet, store, findLeader, processes, evacuated } = targets;
  switch (event.kind) {
    case "kill-instance": {
      const members = fleet.list().filter(({ isAlive, membership }) =>
        isAlive && membership?.members[0] !== undefined &&
        membership.state !== "open"
      );
      if (members.length > 0) {
        fleet.kill(members[event.index % members.length]!.id);
      }
      return;
    }
    case "kill-head": {
      const heads = fleet.listServingHeads();
      if (heads.length > 0) fleet.kill(heads[event.index % heads.length]!.id);
      return;
    }
    case "partition": {
      const heads = fleet.listServingHeads();
      if (heads.length === 0) return;
      const head = heads[event.index % heads.length]!;
      for (const id of head.membership!.members.slice(0, event.members)) {
        fleet.setReachable(id, false);
      }
      return;
    }
    case "reconnect": {
      // In reverse, so that the members partitioned last come back first.
      const unreachable = fleet.list().filter(({ isReachable }) =>
        !isReachable
      );
      for (const { id } of unreachable.reverse().slice(0, event.members)) {
        fleet.setReachable(id, true);
      }
      return;
    }
    case "late-orders":
      fleet.faults = { lateOrderFraction: event.fraction };
      return;
    case "store-out":
      store.faults = { isOut: true };
      return;
    case "store-loses-answers":
      store.faults = { losesAnswers: true };
      return;
    case "store-restored":
      store.faults = {};
      return;
    case "slow": {
      const members = fleet.list().filter(({ isAlive, membership }) =>
        isAlive && membership !== undefined
      );
      if (members.length > 0) {
        fleet.setPace(members[event.index % members.length]!.id, SLOW_PACE);
      }
      return;
    }
    case "drain": {
      const instances = fleet.list();
      fleet.drain(instances[event.index % instances.length]!.id);
      return;
    }
    case "arrive": {
      const domain = DOMAINS[event.index % DOMAINS.length]!;
      fleet.addInstance(`${domain}-new-${fleet.list().length}`, domain, 1);
      return;
    }
    case "drain-without-spare": {
      const heads = fleet.listServingHeads();
      const members = heads.flatMap(({ membership }) => membership!.members);
      for (const { id } of fleet.list()) {
        if (!members.includes(id)) fleet.kill(id);
      }
      fleet.drain(heads[0]!.membership!.members[1]!);
      return;
    }
    case "report-leaving": {
      const head = fleet.listServingHeads()[0]!;
      head.isLeaving = true;
      const leader = findLeader();
      processes.find((process) => process !== leader)!.noteLeaving(head.id);
      return;
    }
    case "evacuate":
      evacuated.add(`zone-${DOMAINS[event.index % DOMAINS.length]}`);
      return;
    case "restore":
      evacuated.delete(`zone-${DOMAINS[event.index % DOMAINS.length]}`);
      return;
    case "reset-pace":
      for (const { id } of fleet.list()) fleet.setPace(id, 1);
      return;
    case "kill-leader": {
      const leader = findLeader();
      const runningCount =
        processes.filter(({ isTerminated }) => !isTerminated).length;
      if (leader !== undefined && runningCount > 1) leader.isTerminated = true;
      return;
    }
    case "partition-leader": {
      const leader = findLeader();
      if (leader !== undefined) leader.isPartitioned = true;
      return;
    }
    case "partition-leader-from-store": {
      const leader = findLeader();
      if (leader !== undefined) leader.isStorePartitioned = true;
      return;
    }
    case "partition-leader-from-fleet": {
      const leader = findLeader();
      if (leader === undefined) return;
      leader.fleetPartition = event.isRefused ? "refused" : "unreachable";
      return;
    }
    case "heal":
      for (const process of processes) {
        process.fleetPartition = undefined;
        process.isPartitioned = false;
        process.isStorePartitioned = false;
      }
  }
}
