import { LEADER_GENERATION } from "celerytray";
import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { type CoordinatedProcess, endProcess } from "./coordinated_process.ts";
import {
  createSimulatedCluster,
  findKnownTerm,
  type SimulatedCluster,
  STEP_MS,
} from "./simulated_cluster.ts";

const EARLIER_GENERATION = 0;
const SETTLE_MS = 9_000;
/** Time between two replaced processes, in which the lead may change. */
const REPLACE_GAP_MS = 6_000;
/** Time in which a process of a newer version takes the lead. */
const TAKEOVER_MS = 3_000;
const DETECTION_MS = 1_000;
/** Time in which a replaced leader must give no more orders. */
const ALONE_MS = 200;
const OBSERVATION_MS = 30_000;

// Guards against a leader of an earlier version that goes on leading, for as long
// as any such process runs, in the way that the newer version mends (LOST).
describe("a process of a newer version", () => {
  for (const size of [7, 24]) {
    it(`soon leads, and is followed, of ${size} processes`, () =>
      simulate({ size, generation: EARLIER_GENERATION }, function* (cluster) {
        yield* advance(SETTLE_MS);
        const replaced = findLargest(listFollowers(cluster));
        const started = yield* replace(cluster, replaced, LEADER_GENERATION);
        yield* advance(TAKEOVER_MS);
        expect(cluster.findLeader()).toEqual(started);
        yield* advance(2 * DETECTION_MS);
        const term = findKnownTerm(cluster, started);
        for (const process of cluster.processes) {
          expect(findKnownTerm(cluster, process)).toEqual(term);
        }
      }));
  }

  it("does not lead a large fleet if it has few cores", () =>
    simulate({ size: 24, generation: EARLIER_GENERATION }, function* (cluster) {
      yield* advance(SETTLE_MS);
      const smallest = listFollowers(cluster).at(-1)!;
      yield* replace(cluster, smallest, LEADER_GENERATION);
      expect(yield* countChanges(cluster, OBSERVATION_MS)).toEqual(0);
    }));

  // Guards against two processes that give orders for 2 s, until the replaced one
  // reads the records.
  it("leads alone at once, even if the replaced leader reads no records", () =>
    simulate({ generation: EARLIER_GENERATION }, function* (cluster) {
      yield* advance(SETTLE_MS);
      const leader = cluster.findLeader()!;
      leader.losesLongPolls = true;
      yield* advance(SETTLE_MS);
      const replaced = listFollowers(cluster)[0]!;
      const started = yield* replace(cluster, replaced, LEADER_GENERATION);
      while (!started.coordinator.isLeading) yield* advance(STEP_MS);
      yield* advance(ALONE_MS);
      expect(leader.coordinator.isLeading).toEqual(false);
      expect(started.coordinator.isLeading).toEqual(true);
    }));

  it("takes the lead once, of several that start at once", () =>
    simulate({ generation: EARLIER_GENERATION }, function* (cluster) {
      yield* advance(SETTLE_MS);
      for (const process of listFollowers(cluster).slice(0, 4)) {
        yield* replace(cluster, process, LEADER_GENERATION);
      }
      expect(yield* countChanges(cluster, OBSERVATION_MS)).toEqual(1);
    }));

  it("takes no lead while it does not reach the instances", () =>
    simulate({ generation: EARLIER_GENERATION }, function* (cluster) {
      yield* advance(SETTLE_MS);
      const replaced = listFollowers(cluster)[0]!;
      const started = yield* replace(cluster, replaced, LEADER_GENERATION);
      started.lostServices.add("drafts");
      expect(yield* countChanges(cluster, OBSERVATION_MS)).toEqual(0);
      started.lostServices.clear();
      yield* advance(TAKEOVER_MS);
      expect(cluster.findLeader()).toEqual(started);
    }));

  it("takes no lead from one of its own version", () =>
    simulate({}, function* (cluster) {
      yield* advance(SETTLE_MS);
      const replaced = listFollowers(cluster)[0]!;
      yield* replace(cluster, replaced, LEADER_GENERATION);
      expect(yield* countChanges(cluster, OBSERVATION_MS)).toEqual(0);
    }));
});

// Guards against a lead that passes to and fro while several versions run.
describe("the lead", () => {
  it("changes once in an upgrade whose leader is replaced last", () =>
    simulate({ generation: EARLIER_GENERATION }, function* (cluster) {
      yield* advance(SETTLE_MS);
      const last = cluster.findLeader()!;
      const order = [...listFollowers(cluster), last];
      let changes = 0;
      for (const process of order) {
        yield* replace(cluster, process, LEADER_GENERATION);
        changes += yield* countChanges(cluster, REPLACE_GAP_MS);
      }
      expect(changes).toEqual(1);
    }));

  it("changes at most twice with each leader that a rollback ends", () =>
    simulate({}, function* (cluster) {
      yield* advance(SETTLE_MS);
      let changes = 0;
      let endedLeaders = 0;
      for (const process of [...cluster.processes]) {
        if (cluster.findLeader() === process) endedLeaders += 1;
        yield* replace(cluster, process, EARLIER_GENERATION);
        changes += yield* countChanges(cluster, REPLACE_GAP_MS);
      }
      expect(endedLeaders > 0 && changes <= 2 * endedLeaders).toEqual(true);
      expect(yield* countChanges(cluster, OBSERVATION_MS)).toEqual(0);
    }));

  it("stays with a newer version as processes of an earlier one start", () =>
    simulate({}, function* (cluster) {
      yield* advance(SETTLE_MS);
      for (const process of listFollowers(cluster).slice(0, 4)) {
        yield* replace(cluster, process, EARLIER_GENERATION);
      }
      expect(yield* countChanges(cluster, OBSERVATION_MS)).toEqual(0);
    }));
});

function listFollowers(
  cluster: SimulatedCluster,
): readonly CoordinatedProcess[] {
  const leader = cluster.findLeader();
  return cluster.processes.filter((process) => process !== leader);
}

function findLargest(
  processes: readonly CoordinatedProcess[],
): CoordinatedProcess {
  const byCores = [...processes].sort((a, b) => b.node.cores - a.node.cores);
  return byCores[0]!;
}

/** Ends a process and starts one of a version in its place. */
function replace(
  cluster: SimulatedCluster,
  process: CoordinatedProcess,
  generation: number,
): Effect.Effect<CoordinatedProcess> {
  return Effect.gen(function* () {
    process.coordinator.resign();
    endProcess(process, "killed");
    yield* cluster.restart(process, generation);
    return cluster.processes[Number(process.node.peerAddress)]!;
  });
}

/** Counts how often another process leads than before. */
function countChanges(
  cluster: SimulatedCluster,
  totalMs: number,
): Effect.Effect<number> {
  return Effect.gen(function* () {
    let leader = cluster.findLeader();
    let changes = leader === undefined ? 1 : 0;
    for (let passedMs = 0; passedMs < totalMs; passedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
      const current = cluster.findLeader();
      if (current === undefined || current === leader) continue;
      if (leader !== undefined) changes += 1;
      leader = current;
    }
    return changes;
  });
}

function simulate(
  options: { readonly generation?: number; readonly size?: number },
  run: (
    cluster: SimulatedCluster,
  ) => Generator<Effect.Effect<unknown>, void, never>,
): Promise<void> {
  const program = Effect.gen(function* () {
    const cluster = yield* createSimulatedCluster({
      seed: 59,
      size: 7,
      ...options,
    });
    yield* Effect.gen(() => run(cluster));
  });
  return Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
}

function advance(totalMs: number): Effect.Effect<void> {
  return Effect.gen(function* () {
    for (let passedMs = 0; passedMs < totalMs; passedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
    }
  });
}
