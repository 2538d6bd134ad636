import type { ConfigSet, LogRecord } from "@celerytray/schema";
import {
  emptyFleetState,
  type FleetObservation,
  foldFleetRecord,
  type MemberObservation,
  RepairPlanner,
} from "celerytray";
import { createEngines } from "./deployments.ts";

/** Cost of planning rounds at one size. */
export interface PlanningCost {
  readonly replicas: number;
  readonly instances: number;
  /** From nothing to all replicas formed. */
  readonly formRoundMs: number;
  /** A round in which nothing changes. */
  readonly quietRoundMs: number;
  /** A round with one member in a hundred absent. */
  readonly repairRoundMs: number;
  readonly heapMiB: number;
}

const TARGET_REPLICAS = 6_300;
const ROUNDS = 5;
const MODEL = "chat-70b";
const MIB = 1024 * 1024;
const ZONES = Array.from({ length: 12 }, (_, index) => `zone-${index}`);

/** Size of a planning measurement. */
export interface PlanningSize {
  readonly instancesPerReplica: number;
  readonly replicaCount?: number;
}

/** Measures planning at one size. */
export function measurePlanning(size: PlanningSize): PlanningCost {
  const { instancesPerReplica, replicaCount = TARGET_REPLICAS } = size;
  const heapBefore = readHeapBytes();
  const perDomain = instancesPerReplica * 4;
  const instances = createEngines({
    domainCount: Math.ceil(replicaCount * 1.02 / 4),
    perDomain,
    zones: ZONES,
  });
  const config: ConfigSet = {
    availabilityZones: {},
    organisations: {},
    deployments: { large: { weighting: "group-downtime" } },
    services: {
      chat: {
        kind: "model",
        deployment: "large",
        replicaCount,
        instancesPerReplica,
        model: MODEL,
      },
    },
  };
  const observations = new Map<string, MemberObservation>();
  const planner = new RepairPlanner();
  let fleet = emptyFleetState();
  const ranks = new Map<string, number>();
  let nowMs = 0;
  const plan = () => {
    const observation: FleetObservation = {
      config,
      fleet,
      instances,
      observations,
      nowMs,
    };
    const startedAt = performance.now();
    planner.observe(observation);
    const proposals = planner.plan(observation);
    return { proposals, tookMs: performance.now() - startedAt };
  };
  const readAll = (isAbsent: (index: number) => boolean) => {
    for (const [index, { instanceId }] of instances.entries()) {
      if (isAbsent(index)) continue;
      observations.set(instanceId, observe(instanceId, { ranks, nowMs }));
    }
  };
  readAll(() => false);
  const formed = plan();
  for (const proposal of formed.proposals) {
    const offset = fleet.offset + 1;
    const record = {
      ...proposal,
      recordId: String(offset),
      proposer: "bench",
    } as LogRecord;
    if (proposal.kind === "form") {
      for (const [rank, name] of proposal.members.entries()) {
        ranks.set(name, rank);
      }
    }
    fleet = foldFleetRecord(fleet, { offset, appendedAtMs: 0, record });
  }
  const runRounds = (isAbsent: (index: number) => boolean) => {
    const took: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      nowMs += 6_000;
      readAll(isAbsent);
      took.push(plan().tookMs);
    }
    return Math.max(...took);
  };
  const quietRoundMs = runRounds(() => false);
  const repairRoundMs = runRounds((index) => index % 100 === 0);
  return {
    replicas: formed.proposals.length,
    instances: instances.length,
    formRoundMs: formed.tookMs,
    quietRoundMs,
    repairRoundMs,
    heapMiB: (readHeapBytes() - heapBefore) / MIB,
  };
}

function observe(
  instanceId: string,
  world: {
    readonly ranks: ReadonlyMap<string, number>;
    readonly nowMs: number;
  },
): MemberObservation {
  const loadedRank = world.ranks.get(instanceId);
  return {
    status: {
      instanceId,
      bootId: instanceId,
      state: "ready",
      runningRequests: 0,
      waitingRequests: 0,
      stepTimeMs: 30,
      ...(loadedRank === undefined
        ? {}
        : { model: MODEL, loadedRank, loadedFraction: 1 }),
    },
    observedAtMs: world.nowMs,
  };
}

function readHeapBytes(): number {
  (globalThis as { gc?: () => void }).gc?.();
  return process.memoryUsage().heapUsed;
}
