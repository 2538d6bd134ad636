import type { Coordinator } from "celerytray";
import type { FakeKeyedStore } from "../store/index.ts";
import type { FakeFleet } from "./fake_fleet.ts";

/** Domains of a fleet. */
export const DOMAINS = ["d0", "d1"];
const SLOW_PACE = 4;

/** What happens to a fleet, its store or the processes that direct it. */
export type Trouble =
  | { readonly kind: "kill-instance"; readonly index: number }
  | { readonly kind: "kill-head"; readonly index: number }
  | { readonly kind: "late-orders"; readonly share: number }
  /** A head and some of its members can't be reached for a time. */
  | { readonly kind: "part"; readonly index: number; readonly members: number }
  /** A member of a replica turns slow. */
  | { readonly kind: "slow"; readonly index: number }
  /** An instance drains, or arrives in a domain. */
  | { readonly kind: "drain" | "arrive"; readonly index: number }
  /** A member that is no head drains, and its domain has no spare left. */
  | { readonly kind: "drain-without-spare" }
  /** A head says in an answer that it leaves; the list doesn't tell. */
  | { readonly kind: "say-leaving" }
  | { readonly kind: "rejoin"; readonly members: number }
  | { readonly kind: "store-out" | "store-back" | "store-loses" }
  /** The process that decides loses the store, but no other process. */
  | { readonly kind: "cut-lead-from-store" }
  /** The operator evacuates the zone of a domain, or ends that. */
  | { readonly kind: "evacuate" | "restore"; readonly index: number }
  | { readonly kind: "kill-lead" | "cut-lead" | "heal" | "quicken" };

/** A process that takes part in directing a fleet. */
export interface FleetProcess {
  readonly nodeId: string;
  readonly coordinator: Coordinator;
  /** Takes an instance's status, as from an answer of it. */
  readonly noteLeaving: (instanceId: string) => void;
  isCut: boolean;
  /** Whether the store, but no other process, is out of its reach. */
  isStoreCut: boolean;
  /** Reads that waited for a record and got no answer; undefined while they do. */
  lostWaits: number | undefined;
  /** Orders of it that it was told were refused as outdated. */
  refusedOrders: number;
  isDead: boolean;
}

/** What troubles are brought about on. */
export interface TroubleTargets {
  readonly fleet: FakeFleet;
  readonly store: FakeKeyedStore;
  readonly findLead: () => FleetProcess | undefined;
  readonly processes: readonly FleetProcess[];
  /** Zones to which nothing is to be sent. */
  readonly evacuated: Set<string>;
}

/** Brings a trouble about. */
export function applyTrouble(step: Trouble, targets: TroubleTargets): void {
  const { fleet, store, findLead, processes, evacuated } = targets;
  switch (step.kind) {
    case "kill-instance": {
      const members = fleet.list().filter(({ isAlive, membership }) =>
        isAlive && membership?.members[0] !== undefined &&
        membership.state !== "open"
      );
      if (members.length > 0) {
        fleet.kill(members[step.index % members.length]!.id);
      }
      return;
    }
    case "kill-head": {
      const heads = fleet.listServing();
      if (heads.length > 0) fleet.kill(heads[step.index % heads.length]!.id);
      return;
    }
    case "part": {
      const heads = fleet.listServing();
      if (heads.length === 0) return;
      const head = heads[step.index % heads.length]!;
      for (const id of head.membership!.members.slice(0, step.members)) {
        fleet.setReachable(id, false);
      }
      return;
    }
    case "rejoin": {
      // The members that were parted last come back first.
      const parted = fleet.list().filter(({ isReachable }) => !isReachable);
      for (const { id } of parted.reverse().slice(0, step.members)) {
        fleet.setReachable(id, true);
      }
      return;
    }
    case "late-orders":
      fleet.faults = { lateShare: step.share };
      return;
    case "store-out":
      store.faults = { isOut: true };
      return;
    case "store-loses":
      store.faults = { losesAnswers: true };
      return;
    case "store-back":
      store.faults = {};
      return;
    case "slow": {
      const members = fleet.list().filter(({ isAlive, membership }) =>
        isAlive && membership !== undefined
      );
      if (members.length > 0) {
        fleet.setPace(members[step.index % members.length]!.id, SLOW_PACE);
      }
      return;
    }
    case "drain": {
      const instances = fleet.list();
      fleet.drain(instances[step.index % instances.length]!.id);
      return;
    }
    case "arrive": {
      const domain = DOMAINS[step.index % DOMAINS.length]!;
      fleet.start(`${domain}-new-${fleet.list().length}`, domain, 1);
      return;
    }
    case "drain-without-spare": {
      const heads = fleet.listServing();
      const members = heads.flatMap(({ membership }) => membership!.members);
      for (const { id } of fleet.list()) {
        if (!members.includes(id)) fleet.kill(id);
      }
      fleet.drain(heads[0]!.membership!.members[1]!);
      return;
    }
    case "say-leaving": {
      const head = fleet.listServing()[0]!;
      head.isLeaving = true;
      const lead = findLead();
      processes.find((process) => process !== lead)!.noteLeaving(head.id);
      return;
    }
    case "evacuate":
      evacuated.add(`zone-${DOMAINS[step.index % DOMAINS.length]}`);
      return;
    case "restore":
      evacuated.delete(`zone-${DOMAINS[step.index % DOMAINS.length]}`);
      return;
    case "quicken":
      for (const { id } of fleet.list()) fleet.setPace(id, 1);
      return;
    case "kill-lead": {
      const lead = findLead();
      const living = processes.filter(({ isDead }) => !isDead).length;
      if (lead !== undefined && living > 1) lead.isDead = true;
      return;
    }
    case "cut-lead": {
      const lead = findLead();
      if (lead !== undefined) lead.isCut = true;
      return;
    }
    case "cut-lead-from-store": {
      const lead = findLead();
      if (lead !== undefined) lead.isStoreCut = true;
      return;
    }
    case "heal":
      for (const process of processes) {
        process.isCut = false;
        process.isStoreCut = false;
      }
  }
}
