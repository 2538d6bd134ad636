import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import {
  type CoordinatedProcess,
  resumeProcess,
  stopProcess,
} from "./coordinated_process.ts";
import {
  type CoordinationWorld,
  createCoordinationWorld,
  readTerm,
  STEP_MS,
} from "./coordination_world.ts";

const SEED = 47;
const SIZE = 7;
const SETTLE_MS = 9_000;
/** Time in which a lead that isn't heard is replaced. */
const REPLACED_MS = 2_500;
/** Time in which a replaced lead follows the other. */
const LEARN_MS = 1_000;
const WATCH_MS = 40_000;
const MIN_LOOKS = 8;
/** One in 2 s. */
const MAX_LOOKS = 20;

// A lead that writes no records meets no conflict, and its orders are refused.
describe("a lead that was replaced", () => {
  it("follows the other soon after it stood still just after its start", () =>
    play(function* (world) {
      const lead = yield* awaitLead(world);
      stopProcess(lead);
      yield* advance(REPLACED_MS);
      const next = world.findLead();
      expect(next !== undefined && next !== lead).toEqual(true);
      resumeProcess(lead);
      yield* advance(LEARN_MS);
      expectFollowed(world, lead, next!);
    }));

  it("follows the other soon as no report reaches it any more", () =>
    play(function* (world) {
      yield* advance(SETTLE_MS);
      const lead = world.findLead()!;
      lead.state = "unheard";
      const next = yield* awaitLead(world);
      yield* advance(LEARN_MS);
      expectFollowed(world, lead, next);
    }));

  it("follows the other soon after that though its reads that wait are lost", () =>
    play(function* (world) {
      const lead = yield* awaitLead(world);
      lead.losesWaits = true;
      yield* advance(SETTLE_MS);
      lead.state = "unheard";
      const next = yield* awaitLead(world);
      yield* advance(2 * LEARN_MS);
      expectFollowed(world, lead, next);
    }));

  it("steps down soon as its orders are refused though its reads that wait are lost", () =>
    play(function* (world) {
      yield* advance(SETTLE_MS);
      const lead = world.findLead()!;
      lead.losesWaits = true;
      yield* awaitCall(world);
      yield* awaitCall(world);
      world.store.append("fleet", world.store.readNewest("fleet")[0]!);
      yield* advance(2 * LEARN_MS);
      expect(lead.coordinator.isLeading).toEqual(true);
      lead.noteOutdated();
      yield* advance(LEARN_MS / 4);
      expect(lead.coordinator.isLeading).toEqual(false);
    }, 1));

  it("reads the store seldom, and no other process does, where all is well", () =>
    play(function* (world) {
      yield* advance(SETTLE_MS);
      const before = countCalls(world);
      yield* advance(WATCH_MS);
      const looks = countCalls(world) - before;
      expect(looks >= MIN_LOOKS && looks <= MAX_LOOKS).toEqual(true);
    }));
});

function expectFollowed(
  world: CoordinationWorld,
  lead: CoordinatedProcess,
  next: CoordinatedProcess,
): void {
  expect(lead.coordinator.isLeading).toEqual(false);
  expect(next.coordinator.isLeading).toEqual(true);
  expect(readTerm(world, lead)).toEqual(readTerm(world, next));
}

function countCalls({ storeCalls }: CoordinationWorld): number {
  return [...storeCalls.values()].reduce((sum, calls) => sum + calls, 0);
}

function play(
  run: (
    world: CoordinationWorld,
  ) => Generator<Effect.Effect<unknown>, void, never>,
  size = SIZE,
): Promise<void> {
  const program = Effect.gen(function* () {
    const world = yield* createCoordinationWorld({ seed: SEED, size });
    yield* Effect.gen(() => run(world));
  });
  return Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
}

/** Lets time pass until a process that runs and is heard leads. */
function awaitLead(
  { findLead }: CoordinationWorld,
): Effect.Effect<CoordinatedProcess> {
  return Effect.gen(function* () {
    for (let passedMs = 0; passedMs < SETTLE_MS; passedMs += STEP_MS) {
      const lead = findLead();
      if (lead !== undefined) return lead;
      yield* TestClock.adjust(STEP_MS);
    }
    throw new Error("No process leads; see why none takes the lead");
  });
}

/** Lets time pass until the store is called. */
function awaitCall(world: CoordinationWorld): Effect.Effect<void> {
  return Effect.gen(function* () {
    const before = countCalls(world);
    for (let passedMs = 0; passedMs < SETTLE_MS; passedMs += STEP_MS) {
      if (countCalls(world) !== before) return;
      yield* TestClock.adjust(STEP_MS);
    }
    throw new Error("The store isn't called; see why the lead doesn't look");
  });
}

function advance(totalMs: number): Effect.Effect<void> {
  return Effect.gen(function* () {
    for (let passedMs = 0; passedMs < totalMs; passedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
    }
  });
}
