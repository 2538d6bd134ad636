import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { endProcess } from "./coordinated_process.ts";
import {
  type CoordinationWorld,
  createCoordinationWorld,
  readTerm,
  SHARED_MODEL,
  SHARED_TENANT,
  STEP_MS,
} from "./coordination_world.ts";

const SEED = 47;
const SIZES = [7, 100, 390];
/** Time in which processes that start find a lead and their relays. */
const SETTLE_MS = 9_000;
const WATCH_MS = 2_000;
/** Reports a second that any process may take, and that each sends at most. */
const MAX_REPORTS_PER_SECOND = 110;
const MAX_SENT_PER_SECOND = 4.5;
/** Bounds that hold at any size. */
const MAX_TOLD_AGE_MS = 1_700;
const MAX_LEAVING_MS = 500;
/** Organisations that are told by name, whatever their number. */
const MAX_TENANTS = 32;
const MAX_LEAD_BACK_MS = 2_500;
/** Calls to the store that the loss of a lead may cost, for each relay and in all. */
const CALLS_PER_RELAY = 6;

describe("hundreds of processes", () => {
  it("tell each other the same, as often as a few", async () => {
    for (const size of SIZES) {
      await play(size, function* (world) {
        const before = world.processes.map(({ reports }) => reports);
        yield* advance(WATCH_MS);
        const rates = world.processes.map(({ reports }, index) =>
          (reports - before[index]!) / (WATCH_MS / 1_000)
        );
        const sent = rates.reduce((sum, rate) => sum + rate, 0) / size;
        expect(Math.max(...rates) <= MAX_REPORTS_PER_SECOND).toEqual(true);
        expect(sent <= MAX_SENT_PER_SECOND).toEqual(true);
        for (const { coordinator, toldAtMs } of world.processes) {
          if (coordinator.isLeading) continue;
          expect(world.nowMs() - toldAtMs <= MAX_TOLD_AGE_MS).toEqual(true);
          expect(coordinator.countProcesses()).toEqual(size);
        }
      });
    }
  });

  it("hear of the demand of all, with a bounded number of organisations", async () => {
    for (const size of SIZES) {
      await play(size, function* ({ processes }) {
        yield* advance(WATCH_MS);
        for (const { coordinator } of processes) {
          const { byModel, byTenant } = coordinator.demandTotals()!;
          expect(byModel[SHARED_MODEL]).toEqual(size);
          expect(byTenant[SHARED_TENANT]).toEqual(size);
          expect(Object.keys(byTenant).length <= MAX_TENANTS).toEqual(true);
        }
      });
    }
  });

  it("are led by one of the most able", async () => {
    for (const size of SIZES) {
      await play(size, function* ({ processes, findLead }) {
        yield* Effect.void;
        const most = Math.max(...processes.map(({ node }) => node.cores));
        expect(findLead()!.node.cores).toEqual(most);
      });
    }
  });

  it("all hear within half a second that an instance leaves", async () => {
    for (const size of SIZES) {
      await play(size, function* ({ processes }) {
        processes.at(-1)!.leaving.set("i", { instanceId: "i", bornAtMs: 1 });
        yield* advance(MAX_LEAVING_MS);
        const heard = processes.filter(({ leaving }) => leaving.has("i"));
        expect(heard.length).toEqual(size);
      });
    }
  });

  for (const state of ["killed", "without-power"] as const) {
    it(`soon follow another as their lead is ${state}, with few calls to the store and reports`, async () => {
      for (const size of SIZES) {
        await play(size, function* (world) {
          const before = countCalls(world);
          const reported = world.processes.map(({ reports }) => reports);
          const lead = world.findLead()!;
          endProcess(lead, state);
          yield* advance(MAX_LEAD_BACK_MS);
          const rates = world.processes.map(({ reports }, index) =>
            (reports - reported[index]!) / (MAX_LEAD_BACK_MS / 1_000)
          );
          expect(Math.max(...rates) <= MAX_REPORTS_PER_SECOND).toEqual(true);
          const next = world.findLead();
          expect(next !== undefined).toEqual(true);
          const term = readTerm(world, next!);
          const behind = world.processes.filter((process) =>
            process !== lead && readTerm(world, process) !== term
          );
          expect(behind.length).toEqual(0);
          const relays = Math.max(6, Math.ceil(Math.sqrt(size)));
          const calls = countCalls(world) - before;
          expect(calls <= relays * CALLS_PER_RELAY).toEqual(true);
        });
      }
    });
  }

  it("soon follow one as most of them are killed at once", async () => {
    await play(100, function* (world) {
      world.processes.forEach((process, index) => {
        if (index % 4 !== 0) endProcess(process, "killed");
      });
      yield* advance(2 * MAX_LEAD_BACK_MS);
      expect(world.findLead() !== undefined).toEqual(true);
    });
  });
});

function countCalls({ storeCalls }: CoordinationWorld): number {
  return [...storeCalls.values()].reduce((sum, calls) => sum + calls, 0);
}

/** Starts processes, lets them settle, and plays on virtual time. */
function play(
  size: number,
  run: (world: CoordinationWorld) => Generator<Effect.Effect<void>, void>,
): Promise<void> {
  const program = Effect.gen(function* () {
    const world = yield* createCoordinationWorld({ seed: SEED, size });
    yield* advance(SETTLE_MS);
    yield* Effect.gen(() => run(world));
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
