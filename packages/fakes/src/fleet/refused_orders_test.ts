import { encodeLeader, LEADER_KEY, type LeaderRecord } from "celerytray";
import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { it } from "node:test";
import type { FleetProcess } from "./fleet_trouble.ts";
import {
  createFleetWorld,
  type FleetWorld,
  SETTLE_MS,
  STEP_MS,
} from "./fleet_world.ts";

const SEED = 71;
const WAIT_MS = 2_000;
/** Time in which a death is noticed, orders are refused and the lead looks. */
const LEARN_MS = 1_500;
const LATER_FENCE = 1_000_000;
const OTHER: Omit<LeaderRecord, "term"> = {
  nodeId: "node-1",
  bootId: "boot-1",
  peerAddress: "1",
};

it("a lead whose orders are refused as outdated soon steps down", () => {
  const program = Effect.gen(function* () {
    const world = yield* createFleetWorld({ seed: SEED });
    yield* advance(SETTLE_MS);
    const lead = world.findLead()!;
    lead.lostWaits = 0;
    yield* awaitLostWait(lead);
    world.store.append("fleet", {
      key: LEADER_KEY,
      value: encodeLeader(OTHER),
    });
    yield* raiseFences(world);
    yield* advance(WAIT_MS);
    expect(lead.coordinator.isLeading).toEqual(true);
    world.apply({ kind: "kill-instance", index: 0 });
    let passedMs = 0;
    while (lead.coordinator.isLeading && passedMs <= LEARN_MS) {
      yield* advance(STEP_MS);
      passedMs += STEP_MS;
    }
    expect(passedMs <= LEARN_MS).toEqual(true);
    // A conflict of its own append may tell it as well.
    expect(lead.refusedOrders > 0).toEqual(true);
    expect(world.fleet.violations).toEqual([]);
  });
  return Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
});

/** Lets time pass until a look of a process gets no answer. */
function awaitLostWait(process: FleetProcess): Effect.Effect<void> {
  return Effect.gen(function* () {
    const before = process.lostWaits;
    for (let passedMs = 0; passedMs < SETTLE_MS; passedMs += STEP_MS) {
      if (process.lostWaits !== before) return;
      yield* advance(STEP_MS);
    }
    throw new Error("The lead doesn't look; see why it reads no records");
  });
}

/** Lets all instances see an order of a later lead. */
function raiseFences({ fleet }: FleetWorld): Effect.Effect<void> {
  return Effect.gen(function* () {
    for (const { id } of fleet.list()) {
      yield* Effect.forkDetach(
        fleet.createControl().sendOrder({ id, address: id }, {
          kind: "leave",
          replica: "none",
          epoch: 0,
          fence: LATER_FENCE,
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
