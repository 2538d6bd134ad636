import { encodeLeader, LEADER_KEY, type LeaderRecord } from "celerytray";
import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import {
  type CoordinatedProcess,
  pauseProcess,
  resumeProcess,
} from "./coordinated_process.ts";
import {
  createSimulatedCluster,
  findKnownTerm,
  type SimulatedCluster,
  STEP_MS,
} from "./simulated_cluster.ts";

const SEED = 47;
const SIZE = 7;
const SETTLE_MS = 9_000;
/** Time in which a silent leader is replaced. */
const REPLACEMENT_MS = 2_500;
const OTHER: Omit<LeaderRecord, "term"> = {
  nodeId: "node-other",
  bootId: "boot-other",
  peerAddress: "0",
};
/** Time in which a replaced leader follows its successor. */
const DETECTION_MS = 1_000;
const OBSERVATION_MS = 40_000;
const MIN_STORE_CALLS = 8;
/** One every 2 s. */
const MAX_STORE_CALLS = 20;

// Guards against a replaced leader that doesn't notice: without appends it
// meets no conflict in the store, and its orders are refused.
describe("a leader that was replaced", () => {
  it("follows its successor soon after a pause right after its election", () =>
    simulate(function* (cluster) {
      const leader = yield* awaitLeader(cluster);
      pauseProcess(leader);
      yield* advance(REPLACEMENT_MS);
      const next = cluster.findLeader();
      expect(next !== undefined && next !== leader).toEqual(true);
      resumeProcess(leader);
      yield* advance(DETECTION_MS);
      expectFollowed(cluster, leader, next!);
    }));

  it("follows its successor soon after reports stop reaching it", () =>
    simulate(function* (cluster) {
      yield* advance(SETTLE_MS);
      const leader = cluster.findLeader()!;
      leader.state = "unreachable";
      const next = yield* awaitLeader(cluster);
      yield* advance(DETECTION_MS);
      expectFollowed(cluster, leader, next);
    }));

  it("follows its successor soon even if its long polls are lost as well", () =>
    simulate(function* (cluster) {
      const leader = yield* awaitLeader(cluster);
      leader.losesLongPolls = true;
      yield* advance(SETTLE_MS);
      leader.state = "unreachable";
      const next = yield* awaitLeader(cluster);
      yield* advance(2 * DETECTION_MS);
      expectFollowed(cluster, leader, next);
    }));

  it("steps down soon after refused orders even if its long polls are lost", () =>
    simulate(function* (cluster) {
      yield* advance(SETTLE_MS);
      const leader = cluster.findLeader()!;
      leader.losesLongPolls = true;
      yield* awaitStoreCall(cluster);
      yield* awaitStoreCall(cluster);
      cluster.store.append("fleet", {
        key: LEADER_KEY,
        value: encodeLeader({
          ...OTHER,
          term: cluster.store.endOffset("fleet") + 1,
        }),
      });
      yield* advance(2 * DETECTION_MS);
      expect(leader.coordinator.isLeading).toEqual(true);
      leader.reportOutdatedOrder();
      yield* advance(DETECTION_MS / 4);
      expect(leader.coordinator.isLeading).toEqual(false);
    }, 1));

  it("reads the store rarely, and no other process does, without faults", () =>
    simulate(function* (cluster) {
      yield* advance(SETTLE_MS);
      const before = countStoreCalls(cluster);
      yield* advance(OBSERVATION_MS);
      const callCount = countStoreCalls(cluster) - before;
      expect(callCount >= MIN_STORE_CALLS && callCount <= MAX_STORE_CALLS)
        .toEqual(true);
    }));
});

function expectFollowed(
  cluster: SimulatedCluster,
  leader: CoordinatedProcess,
  next: CoordinatedProcess,
): void {
  expect(leader.coordinator.isLeading).toEqual(false);
  expect(next.coordinator.isLeading).toEqual(true);
  expect(findKnownTerm(cluster, leader)).toEqual(findKnownTerm(cluster, next));
}

function countStoreCalls({ storeCalls }: SimulatedCluster): number {
  return [...storeCalls.values()].reduce((sum, calls) => sum + calls, 0);
}

function simulate(
  run: (
    cluster: SimulatedCluster,
  ) => Generator<Effect.Effect<unknown>, void, never>,
  size = SIZE,
): Promise<void> {
  const program = Effect.gen(function* () {
    const cluster = yield* createSimulatedCluster({ seed: SEED, size });
    yield* Effect.gen(() => run(cluster));
  });
  return Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
}

/** Advances time until a running process leads. */
function awaitLeader(
  { findLeader }: SimulatedCluster,
): Effect.Effect<CoordinatedProcess> {
  return Effect.gen(function* () {
    for (let passedMs = 0; passedMs < SETTLE_MS; passedMs += STEP_MS) {
      const leader = findLeader();
      if (leader !== undefined) return leader;
      yield* TestClock.adjust(STEP_MS);
    }
    throw new Error(
      "No process became the leader within 9 s; check the election",
    );
  });
}

/** Advances time until the store is called. */
function awaitStoreCall(cluster: SimulatedCluster): Effect.Effect<void> {
  return Effect.gen(function* () {
    const before = countStoreCalls(cluster);
    for (let passedMs = 0; passedMs < SETTLE_MS; passedMs += STEP_MS) {
      if (countStoreCalls(cluster) !== before) return;
      yield* TestClock.adjust(STEP_MS);
    }
    throw new Error("No store call within 9 s; check the reads of the leader");
  });
}

function advance(totalMs: number): Effect.Effect<void> {
  return Effect.gen(function* () {
    for (let passedMs = 0; passedMs < totalMs; passedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
    }
  });
}
