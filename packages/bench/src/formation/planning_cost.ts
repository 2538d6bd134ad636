import type { ConfigSet, LogRecord } from "@celerytray/schema";
import {
  emptyFleetState,
  type FleetObservation,
  foldFleetRecord,
  type MemberObservation,
  RepairPlanner,
} from "celerytray";
import { createEngines } from "./deployments.ts";

/** Cost of planning rounds at one fleet size. */
export interface PlanningCost {
  readonly replicas: number;
  readonly instances: number;
  /** The round that forms all replicas of an empty fleet. */
  readonly formRoundMs: number;
  /** The longest round in which nothing changes. */
  readonly quietRoundMs: number;
  /** The longest round while one instance in a hundred is absent. */
  readonly repairRoundMs: number;
  readonly heapMiB: number;
}

const TARGET_REPLICAS = 6_300;
const ROUND_COUNT = 5;
const MODEL = "chat-70b";
const MIB = 1024 * 1024;
const ZONES = Array.from({ length: 12 }, (_, index) => `zone-${index}`);

/** Fleet size of a planning measurement. */
export interface PlanningSize {
  readonly instancesPerReplica: number;
  readonly replicaCount?: number;
}

/** Measures the duration and memory use of planning at one fleet size. */
export function measurePlanning(size: PlanningSize): PlanningCost {
  const { instancesPerReplica, replicaCount = TARGET_REPLICAS } = size;
  const heapBefore = readHeapBytes();
  const instancesPerDomain = instancesPerReplica * 4;
  const instances = createEngines({
    domainCount: Math.ceil(replicaCount * 1.02 / 4),
    instancesPerDomain,
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
  const runRound = () => {
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
    return { proposals, durationMs: performance.now() - startedAt };
  };
  const observeAll = (isAbsent: (index: number) => boolean) => {
    for (const [index, { instanceId }] of instances.entries()) {
      if (isAbsent(index)) continue;
      observations.set(instanceId, observe(instanceId, { ranks, nowMs }));
    }
  };
  observeAll(() => false);
  const formRound = runRound();
  for (const proposal of formRound.proposals) {
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
  const findLongestRoundMs = (isAbsent: (index: number) => boolean) => {
    const durationsMs: number[] = [];
    for (let round = 0; round < ROUND_COUNT; round++) {
      nowMs += 6_000;
      observeAll(isAbsent);
      durationsMs.push(runRound().durationMs);
    }
    return Math.max(...durationsMs);
  };
  const quietRoundMs = findLongestRoundMs(() => false);
  const repairRoundMs = findLongestRoundMs((index) => index % 100 === 0);
  return {
    replicas: formRound.proposals.length,
    instances: instances.length,
    formRoundMs: formRound.durationMs,
    quietRoundMs,
    repairRoundMs,
    heapMiB: (readHeapBytes() - heapBefore) / MIB,
  };
}

function observe(
  instanceId: string,
  context: {
    readonly ranks: ReadonlyMap<string, number>;
    readonly nowMs: number;
  },
): MemberObservation {
  const loadedRank = context.ranks.get(instanceId);
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
    observedAtMs: context.nowMs,
  };
}

function readHeapBytes(): number {
  (globalThis as { gc?: () => void }).gc?.();
  return process.memoryUsage().heapUsed;
}
