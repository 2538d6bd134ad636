import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import {
  createFleetSimulation,
  type FleetSimulation,
  SETTLE_MS,
  STEP_MS,
} from "./fleet_simulation.ts";

const SEED = 71;
/** Time in which a leader is replaced and its successor knows the fleet. */
const REPLACEMENT_MS = 3_000;
/** Time after which a member that does not answer is surely lost. */
const LOSS_MS = 6_000;
/** Time for which a member is silent before the leader stands still. */
const SILENT_BEFORE_MS = 1_600;
/** Short enough that it isn't replaced meanwhile. */
const STANDSTILL_MS = 700;

// Guards against work that a leader ends which no longer leads or has just woken,
// at instances that accept orders of any leader (LOST).
describe("at instances that don't refuse orders of earlier leaders", () => {
  it("a leader that was replaced unknowingly ends no work", () =>
    simulate(function* (simulation, streams) {
      const leader = simulation.findLeader()!;
      leader.isPartitioned = true;
      yield* advance(REPLACEMENT_MS);
      const isReplaced = simulation.processes.some((process) =>
        process !== leader && process.coordinator.isLeading
      );
      expect([isReplaced, leader.coordinator.isLeading]).toEqual([true, true]);
      leader.unreachedIds.add(findMemberId(simulation));
      yield* advance(LOSS_MS);
      expect(streams.brokenOff).toEqual([]);
    }));

  it("a leader that stood still takes no old probes for a loss", () =>
    simulate(function* (simulation, streams) {
      const leader = simulation.findLeader()!;
      const memberId = findMemberId(simulation);
      simulation.fleet.setReachable(memberId, false);
      yield* advance(SILENT_BEFORE_MS);
      leader.clock.pause();
      leader.isPartitioned = true;
      yield* advance(STEP_MS);
      simulation.fleet.setReachable(memberId, true);
      yield* advance(STANDSTILL_MS);
      leader.isPartitioned = false;
      leader.clock.resume();
      yield* advance(LOSS_MS);
      expect(simulation.findLeader()).toEqual(leader);
      expect(streams.brokenOff).toEqual([]);
    }));
});

interface Streams {
  /** Heads whose streams were broken off by an order. */
  readonly brokenOff: string[];
}

function simulate(
  run: (
    simulation: FleetSimulation,
    streams: Streams,
  ) => Generator<Effect.Effect<void>, void>,
): Promise<void> {
  const streams: Streams = { brokenOff: [] };
  const program = Effect.gen(function* () {
    const before = { isSettled: false };
    const simulation = yield* createFleetSimulation({
      seed: SEED,
      isFenced: false,
      findWork: (id) => ({
        isUnderWay: () => before.isSettled && !streams.brokenOff.includes(id),
        breakOff: () => streams.brokenOff.push(id),
      }),
    });
    yield* advance(SETTLE_MS);
    before.isSettled = true;
    const replicas = listReplicas(simulation);
    yield* Effect.gen(() => run(simulation, streams));
    expect(listReplicas(simulation)).toEqual(replicas);
  });
  return Effect.runPromise(
    Effect.scoped(program).pipe(Effect.provide(TestClock.layer())),
  );
}

function findMemberId({ fleet }: FleetSimulation): string {
  return fleet.listServingHeads()[0]!.membership!.members[1]!;
}

function listReplicas({ fleet }: FleetSimulation): readonly string[] {
  return fleet.listServingHeads().map(({ membership }) =>
    `${membership!.replica} ${membership!.epoch}`
  ).sort();
}

function advance(durationMs: number): Effect.Effect<void> {
  return Effect.gen(function* () {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
    }
  });
}
