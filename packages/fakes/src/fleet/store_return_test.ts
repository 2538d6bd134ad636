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

const SEED = 73;
/** Time in which a leader is replaced and its successor has formed replicas. */
const FORMATION_MS = 16_000;
/** Time in which a leader notices the return and has its orders accepted. */
const RETURN_MS = 1_000;

// Guards against a leader that gives out terms, names and epochs once more
// after the store came back from a copy that lacks their records: a member then
// joins another replica while the head of its own is open.
describe("a store that comes back from an older copy", () => {
  it("has no member taken from a replica whose record was lost", () =>
    simulate(function* (simulation) {
      const copy = yield* formAfterCopy(simulation);
      simulation.store.returnFrom(copy);
      yield* advance(RETURN_MS);
      simulation.apply({ kind: "kill-leader" });
      yield* arrive(simulation);
      expect(simulation.fleet.violations).toEqual([]);
      expect(listEpochs(simulation).length)
        .toEqual(new Set(listEpochs(simulation)).size);
    }));

  it("keeps all replicas serving if the leader dies with the return", () =>
    simulate(function* (simulation) {
      const copy = yield* formAfterCopy(simulation);
      const serving = listServing(simulation);
      simulation.apply({ kind: "kill-leader" });
      simulation.store.returnFrom(copy);
      yield* arrive(simulation);
      expect(simulation.fleet.violations).toEqual([]);
      const later = listServing(simulation);
      expect(serving.filter((replica) => !later.includes(replica)))
        .toEqual([]);
      expect(later.length > serving.length).toEqual(true);
    }));

  it("gets the lost records again, while all replicas keep serving", () =>
    simulate(function* (simulation) {
      const copy = yield* formAfterCopy(simulation);
      const serving = listServing(simulation);
      const records = listRecords(simulation);
      simulation.store.returnFrom(copy);
      expect(listRecords(simulation)).not.toEqual(records);
      yield* advance(RETURN_MS);
      expect(simulation.findLeader() !== undefined).toEqual(true);
      expect(listRecords(simulation)).toEqual(records);
      yield* advance(FORMATION_MS);
      expect(listServing(simulation)).toEqual(serving);
      expect(simulation.fleet.violations).toEqual([]);
    }));

  // Guards against a replica that is formed again as it is retired, because the
  // list still shows its members.
  it("has no replica of before restored once it is retired", () =>
    simulate(function* (simulation) {
      simulation.store.returnFrom(simulation.store.copy());
      yield* advance(RETURN_MS);
      const [head] = simulation.fleet.listServingHeads();
      const { replica } = head!.membership!;
      simulation.fleet.drain(head!.id);
      const written = simulation.store.endOffset("fleet");
      yield* advance(FORMATION_MS);
      const records = simulation.store.read("fleet", written)
        .filter(({ key }) => key === `replica/${replica}`);
      expect(records.map(({ value }) => value)).toEqual([undefined]);
      expect(simulation.fleet.violations).toEqual([]);
    }));

  it("has retired replicas removed again", () =>
    simulate(function* (simulation) {
      const copy = simulation.store.copy();
      simulation.apply({ kind: "kill-head", index: 0 });
      yield* advance(FORMATION_MS);
      const records = listRecords(simulation);
      simulation.store.returnFrom(copy);
      yield* advance(RETURN_MS);
      expect(listRecords(simulation)).toEqual(records);
      expect(simulation.fleet.violations).toEqual([]);
    }));

  it("has retired replicas removed again if the leader dies with the return", () =>
    simulate(function* (simulation) {
      const copy = simulation.store.copy();
      simulation.apply({ kind: "kill-head", index: 0 });
      yield* advance(FORMATION_MS);
      const records = listRecords(simulation);
      const serving = listServing(simulation);
      simulation.apply({ kind: "kill-leader" });
      simulation.store.returnFrom(copy);
      yield* advance(FORMATION_MS);
      expect(listRecords(simulation)).toEqual(records);
      expect(listServing(simulation)).toEqual(serving);
      expect(simulation.fleet.violations).toEqual([]);
    }));
});

/**
 * Copies the store, replaces the leader and lets its successor form a replica
 * of new instances; returns the copy.
 */
function formAfterCopy(simulation: FleetSimulation) {
  return Effect.gen(function* () {
    const copy = simulation.store.copy();
    simulation.apply({ kind: "kill-leader" });
    const before = listServing(simulation).length;
    yield* arrive(simulation);
    expect(listServing(simulation).length > before).toEqual(true);
    return copy;
  });
}

/** Adds instances for another replica, and waits until it may serve. */
function arrive(simulation: FleetSimulation): Effect.Effect<void> {
  for (let index = 0; index < ARRIVALS; index++) {
    simulation.apply({ kind: "arrive", index: 0 });
  }
  return advance(FORMATION_MS);
}

const ARRIVALS = 4;

function listServing({ fleet }: FleetSimulation): readonly string[] {
  return fleet.listServingHeads().map(({ membership }) =>
    `${membership!.replica} ${membership!.epoch}`
  ).sort();
}

function listEpochs({ fleet }: FleetSimulation): readonly number[] {
  return fleet.listServingHeads().map(({ membership }) => membership!.epoch);
}

/** Keys of the replica records that the store holds. */
function listRecords({ store }: FleetSimulation): readonly string[] {
  return store.readNewest("fleet").map(({ key }) => key)
    .filter((key) => key.startsWith("replica/")).sort();
}

function simulate(
  run: (
    simulation: FleetSimulation,
  ) => Generator<Effect.Effect<unknown>, void, never>,
): Promise<void> {
  const program = Effect.gen(function* () {
    const simulation = yield* createFleetSimulation({ seed: SEED });
    yield* advance(SETTLE_MS);
    yield* Effect.gen(() => run(simulation));
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
