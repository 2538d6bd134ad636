import type { ConfigSet, Instance, LogRecord } from "@celerytray/schema";
import { expect } from "earl";
import { HashMap } from "effect";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  emptyFleetState,
  type FleetState,
  foldFleetRecord,
} from "./fold_fleet_record.ts";
import type { FleetObservation, FleetProposal } from "./planner_types.ts";
import { RepairPlanner } from "./repair_planner.ts";
import type { MemberObservation } from "./replica_health.ts";
import { selectOrders } from "./select_orders.ts";

const ZONES = ["kth-a", "kth-b", "kth-c"];

describe("RepairPlanner", () => {
  it("spreads a service over zones, then domains", () => {
    const fleet = new Fleet({ domains: 6, perDomain: 4, replicaCount: 3 });
    fleet.round();
    const zones = fleet.replicas().map(({ members }) =>
      ZONES[Number(members[0]!.split("-")[0]) % 3]!
    );
    expect(zones.toSorted()).toEqual(ZONES);
  });

  it("waits for an absent member when there is no spare", () => {
    const fleet = new Fleet({ domains: 1, perDomain: 2, replicaCount: 1 });
    fleet.settle();
    fleet.absent.add("0-1");
    for (let round = 0; round < 30; round++) fleet.round(1_000);
    expect(fleet.replicas().map(({ fencingNumber }) => fencingNumber))
      .toEqual([0]);
  });

  it("waits for a member expected to return before a spare has loaded", () => {
    const fleet = new Fleet({ domains: 1, perDomain: 3, replicaCount: 1 });
    fleet.settle();
    fleet.absent.add("0-1");
    for (let round = 0; round < 12; round++) fleet.round(1_000);
    expect(fleet.replicas()[0]!.members).toEqual(["0-0", "0-1"]);
    for (let round = 0; round < 300; round++) fleet.round(1_000);
    expect(fleet.replicas()[0]!.members).toEqual(["0-0", "0-2"]);
  });

  it("replaces an absent member by a spare with its weights", () => {
    const fleet = new Fleet({ domains: 1, perDomain: 5, replicaCount: 2 });
    fleet.settle();
    fleet.heldRanks.set("0-4", 1);
    fleet.absent.add("0-1");
    for (let round = 0; round < 8; round++) fleet.round(1_000);
    expect(fleet.replicas().map(({ members }) => members))
      .toEqual([["0-0", "0-4"], ["0-2", "0-3"]]);
  });

  it("replaces a confirmed straggler and does not use it again", () => {
    const fleet = new Fleet({ domains: 1, perDomain: 3, replicaCount: 1 });
    fleet.settle();
    fleet.heldRanks.set("0-2", 1);
    fleet.slow.add("0-1");
    for (let round = 0; round < 30; round++) fleet.round(1_000);
    expect(fleet.replicas()[0]!.members).toEqual(["0-0", "0-2"]);
    fleet.absent.add("0-2");
    for (let round = 0; round < 10; round++) fleet.round(1_000);
    expect(fleet.replicas()[0]!.members.includes("0-1")).toEqual(false);
  });

  it("doubles the quarantine of a flapping instance with each absence", () => {
    const quarantineRounds = [2, 3, 4].map((absences) => {
      const fleet = new Fleet({ domains: 1, perDomain: 2, replicaCount: 0 });
      fleet.settle();
      for (let absence = 0; absence < absences; absence++) {
        fleet.absent.add("0-1");
        for (let round = 0; round < 7; round++) fleet.round(1_000);
        fleet.absent.delete("0-1");
        fleet.round(1_000);
      }
      fleet.replicaCount = 1;
      let rounds = 0;
      while (fleet.replicas().length === 0) {
        fleet.round(1_000);
        rounds += 1;
      }
      return rounds;
    });
    expect(quarantineRounds).toEqual([30, 60, 120]);
  });

  it("proposes nothing while it sees less than half of the engines", () => {
    const fleet = new Fleet({ domains: 2, perDomain: 4, replicaCount: 2 });
    fleet.settle();
    for (const name of ["0-0", "0-1", "0-2", "1-0", "1-1"]) {
      fleet.absent.add(name);
    }
    const proposals = Array.from({ length: 300 }, () => fleet.round(1_000));
    expect(proposals.flat()).toEqual([]);
  });

  it("forms extra replicas only if stranded accelerators come first", () => {
    const counts = (["group-downtime", "stranded-accelerators"] as const).map(
      (weighting) => {
        const fleet = new Fleet({ domains: 1, perDomain: 4, replicaCount: 1 });
        fleet.weighting = weighting;
        fleet.settle();
        fleet.heldRanks.set("0-2", 0).set("0-3", 1);
        fleet.round(1_000);
        return fleet.replicas().length;
      },
    );
    expect(counts).toEqual([1, 2]);
  });

  it("proposes only valid records, with members of one domain", () => {
    const fault = fc.record({
      name: fc.tuple(fc.nat({ max: 2 }), fc.nat({ max: 4 })),
      kind: fc.constantFrom("absent", "back", "slow", "fast", "holds"),
      rounds: fc.nat({ max: 40 }),
    });
    fc.assert(
      fc.property(fc.array(fault, { maxLength: 25, size: "max" }), (faults) => {
        const fleet = new Fleet({ domains: 3, perDomain: 5, replicaCount: 5 });
        fleet.settle();
        for (const { name: [domain, index], kind, rounds } of faults) {
          const name = `${domain}-${index}`;
          if (kind === "absent") fleet.absent.add(name);
          if (kind === "back") fleet.absent.delete(name);
          if (kind === "slow") fleet.slow.add(name);
          if (kind === "fast") fleet.slow.delete(name);
          if (kind === "holds") fleet.heldRanks.set(name, index % 2);
          for (let round = 0; round < rounds; round++) fleet.round(3_000);
        }
        expect(fleet.ignoredCount).toEqual(0);
        for (const { members } of fleet.replicas()) {
          const domains = members.map((member) => member.split("-")[0]);
          expect(new Set(domains).size).toEqual(1);
        }
      }),
      { seed: 45, numRuns: 50 },
    );
  });
});

describe("selectOrders", () => {
  it("alternates loads between domains and ignores stale running loads", () => {
    const load = (instanceId: string) => ({
      instanceId,
      address: instanceId,
      order: {
        kind: "join" as const,
        fencingNumber: 1,
        replicaId: "s/0",
        rank: 0,
        model: "m",
      },
    });
    const running = (instanceId: string): [string, MemberObservation] => [
      instanceId,
      {
        observedAtMs: instanceId.startsWith("2") ? 0 : 60_000,
        status: {
          instanceId,
          bootId: "b",
          state: "loading",
          runningRequests: 0,
          waitingRequests: 0,
        },
      },
    ];
    const selected = selectOrders({
      orders: ["0-1", "0-2", "0-3", "1-1", "1-2"].map(load),
      config: createConfig({ replicaCount: 1, weighting: "group-downtime" }),
      fleet: emptyFleetState(),
      observations: new Map(["0-0", "2-0", "2-1", "2-2", "2-3"].map(running)),
      domainOf: (name) => name.split("-")[0]!,
      nowMs: 60_000,
      maxConcurrentLoads: 4,
    });
    expect(selected.map(({ instanceId }) => instanceId))
      .toEqual(["1-1", "0-1", "1-2"]);
  });
});

interface FleetSize {
  readonly domains: number;
  readonly perDomain: number;
  readonly replicaCount: number;
}

/** A simulated fleet; its fields set the state of the engines. */
class Fleet {
  readonly absent = new Set<string>();
  readonly slow = new Set<string>();
  readonly heldRanks = new Map<string, number>();
  replicaCount: number;
  weighting: "group-downtime" | "stranded-accelerators" = "group-downtime";
  ignoredCount = 0;
  readonly #planner = new RepairPlanner();
  readonly #instances: readonly Instance[];
  readonly #observations = new Map<string, MemberObservation>();
  #state: FleetState = emptyFleetState();
  #nowMs = 0;

  constructor({ domains, perDomain, replicaCount }: FleetSize) {
    this.replicaCount = replicaCount;
    this.#instances = Array.from(
      { length: domains * perDomain },
      (_, index) => {
        const domain = Math.floor(index / perDomain);
        return {
          instanceId: `${domain}-${index % perDomain}`,
          role: "engine" as const,
          address: "127.0.0.1:1",
          availabilityZone: ZONES[domain % 3]!,
          fabricDomain: String(domain),
          state: "live" as const,
        };
      },
    );
  }

  /** Runs rounds until replicas have formed and the planner makes repairs. */
  settle(): void {
    for (let round = 0; round < 8; round++) this.round(1_000);
  }

  round(stepMs = 0): readonly FleetProposal[] {
    this.#nowMs += stepMs;
    this.#read();
    const observation: FleetObservation = {
      config: createConfig(this),
      fleet: this.#state,
      instances: this.#instances,
      observations: this.#observations,
      nowMs: this.#nowMs,
    };
    this.#planner.observe(observation);
    const proposals = this.#planner.plan(observation);
    for (const proposal of proposals) this.#append(proposal);
    return proposals;
  }

  replicas() {
    return [...HashMap.values(this.#state.replicas)].toSorted((a, b) =>
      a.slot - b.slot
    );
  }

  #append(proposal: FleetProposal): void {
    const before = this.#state;
    const offset = before.offset + 1;
    const record = { ...proposal, recordId: "r", proposer: "p" } as LogRecord;
    const entry = { offset, appendedAtMs: this.#nowMs, record };
    this.#state = foldFleetRecord(before, entry);
    if (this.#state.replicas === before.replicas) this.ignoredCount += 1;
    if (proposal.kind === "dissolve") return;
    for (const [rank, member] of proposal.members.entries()) {
      this.heldRanks.set(member, rank);
    }
  }

  #read(): void {
    for (const { instanceId } of this.#instances) {
      if (this.absent.has(instanceId)) continue;
      const loadedRank = this.heldRanks.get(instanceId);
      this.#observations.set(instanceId, {
        observedAtMs: this.#nowMs,
        status: {
          instanceId,
          bootId: "b",
          state: "ready",
          runningRequests: 0,
          waitingRequests: 0,
          stepTimeMs: this.slow.has(instanceId) ? 120 : 30,
          ...(loadedRank === undefined
            ? {}
            : { model: "m", loadedRank, loadedFraction: 1 }),
        },
      });
    }
  }
}

function createConfig(
  { replicaCount, weighting }: Pick<Fleet, "replicaCount" | "weighting">,
): ConfigSet {
  return {
    availabilityZones: {},
    organisations: {},
    deployments: { d: { weighting } },
    services: {
      s: {
        kind: "model",
        deployment: "d",
        replicaCount,
        instancesPerReplica: 2,
        model: "m",
      },
    },
  };
}
