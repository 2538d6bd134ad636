import { encodeLeader, LEADER_KEY, type LeaderRecord } from "celerytray";
import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { it } from "node:test";
import type { FleetProcess } from "./fleet_events.ts";
import {
  createFleetSimulation,
  type FleetSimulation,
  SETTLE_MS,
  STEP_MS,
} from "./fleet_simulation.ts";

const SEED = 71;
const WAIT_MS = 2_000;
/** Time to notice a leaving head, have orders refused and read the leader record. */
const DETECTION_MS = 1_500;
/** Time until a new instance is prepared as a spare. */
const PREPARATION_MS = 5_000;
const HIGHER_FENCE = 1_000_000;
const OTHER: Omit<LeaderRecord, "term"> = {
  nodeId: "node-1",
  bootId: "boot-1",
  peerAddress: "1",
};

it("a leader whose orders are refused as outdated soon steps down", () =>
  simulateReplaced(function* (simulation, leader) {
    // It prepares the new instance, which ends no work, as a spare.
    simulation.apply({ kind: "arrive", index: 0 });
    yield* raiseFences(simulation);
    yield* awaitTrue(() => leader.refusedOrderCount > 0, PREPARATION_MS);
    expect(leader.refusedOrderCount > 0).toEqual(true);
    const isDeposed = () => !leader.coordinator.isLeading;
    expect(yield* awaitTrue(isDeposed, DETECTION_MS)).toEqual(true);
  }));

// Guards against orders that end work of a leader that was replaced: where
// instances don't refuse them, streams end.
it("a leader that was replaced steps down instead of closing a head", () =>
  simulateReplaced(function* (simulation, leader) {
    yield* raiseFences(simulation);
    simulation.apply({ kind: "report-leaving" });
    const isDeposed = () => !leader.coordinator.isLeading;
    expect(yield* awaitTrue(isDeposed, DETECTION_MS)).toEqual(true);
    expect(leader.refusedOrderCount).toEqual(0);
  }));

/** Has a leader replaced that doesn't learn of it by its long poll. */
function simulateReplaced(
  run: (
    simulation: FleetSimulation,
    leader: FleetProcess,
  ) => Generator<Effect.Effect<unknown>, void, never>,
): Promise<void> {
  const program = Effect.gen(function* () {
    const simulation = yield* createFleetSimulation({ seed: SEED });
    yield* advance(SETTLE_MS);
    const leader = simulation.findLeader()!;
    leader.lostLongPollCount = 0;
    yield* awaitLostLongPoll(leader);
    simulation.store.append("fleet", {
      key: LEADER_KEY,
      value: encodeLeader({
        ...OTHER,
        term: simulation.store.endOffset("fleet") + 1,
      }),
    });
    yield* advance(WAIT_MS);
    expect(leader.coordinator.isLeading).toEqual(true);
    yield* Effect.gen(() => run(simulation, leader));
    expect(simulation.fleet.violations).toEqual([]);
  });
  return Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
}

/** Advances time until a condition holds; whether it does. */
function awaitTrue(
  isTrue: () => boolean,
  atMostMs: number,
): Effect.Effect<boolean> {
  return Effect.gen(function* () {
    for (let passedMs = 0; passedMs <= atMostMs; passedMs += STEP_MS) {
      if (isTrue()) return true;
      yield* advance(STEP_MS);
    }
    return isTrue();
  });
}

/** Advances time until a long poll of a process gets no answer. */
function awaitLostLongPoll(process: FleetProcess): Effect.Effect<void> {
  return Effect.gen(function* () {
    const before = process.lostLongPollCount;
    for (let passedMs = 0; passedMs < SETTLE_MS; passedMs += STEP_MS) {
      if (process.lostLongPollCount !== before) return;
      yield* advance(STEP_MS);
    }
    throw new Error(
      "No lost long poll within 16 s; check the reads of the leader",
    );
  });
}

/** Sends all instances an order with the fence of a later leader. */
function raiseFences({ fleet }: FleetSimulation): Effect.Effect<void> {
  return Effect.gen(function* () {
    for (const { id } of fleet.list()) {
      yield* Effect.forkDetach(
        fleet.createControl().sendOrder({ id, address: id }, {
          kind: "leave",
          replica: "none",
          epoch: 0,
          fence: HIGHER_FENCE,
        }),
      );
    }
  });
}

function advance(totalMs: number): Effect.Effect<void> {
  return Effect.gen(function* () {
    for (let passedMs = 0; passedMs < totalMs; passedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
    }
  });
}
