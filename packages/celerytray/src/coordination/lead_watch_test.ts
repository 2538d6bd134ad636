import { expect } from "earl";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { it } from "node:test";
import { steadyMs } from "../clock/index.ts";
import type { LeaderRecord } from "../groups/index.ts";
import { silenceMs } from "./intervals.ts";
import type { LeadLook } from "./lead_log.ts";
import { LeadWatch, LOOK_GAP_MS, LOOK_WAIT_MS } from "./lead_watch.ts";

const STEP_MS = 20;
/** Steps in which doubts are noticed, and the answer of the store. */
const NOTICE_MS = 140;
const OTHER: LeaderRecord = {
  nodeId: "other",
  bootId: "boot",
  peerAddress: "1",
  term: 9,
};

it("learns of another lead as its record comes", () =>
  play(function* (world) {
    yield* advance(LOOK_WAIT_MS / 4);
    world.isReplaced = true;
    yield* advance(STEP_MS);
    expect(world.found).toEqual(OTHER);
  }));

it("asks anew as an order is refused while the answer of a look is lost", () =>
  play(function* (world) {
    world.losesWaits = true;
    yield* advance(LOOK_WAIT_MS + LOOK_GAP_MS);
    world.isReplaced = true;
    yield* advance(NOTICE_MS);
    expect(world.found).toEqual(undefined);
    world.watch.noteOutdated();
    yield* advance(NOTICE_MS);
    expect(world.found).toEqual(OTHER);
  }));

it("asks anew once as no process reports any more while the answer is lost", () =>
  play(function* (world) {
    world.losesWaits = true;
    yield* advance(LOOK_WAIT_MS + LOOK_GAP_MS);
    world.reportedAtMs = yield* steadyMs;
    const looks = world.looksAtMs.length;
    yield* advance(silenceMs("direct"));
    expect(world.looksAtMs.length).toEqual(looks);
    yield* advance(NOTICE_MS);
    expect(world.looksAtMs.length).toEqual(looks + 1);
    yield* advance(LOOK_WAIT_MS - NOTICE_MS);
    expect(world.looksAtMs.length).toEqual(looks + 1);
  }));

it("doesn't miss the reports of others before any came", () =>
  play(function* (world) {
    yield* advance(LOOK_WAIT_MS - STEP_MS);
    expect(world.looksAtMs.length).toEqual(1);
  }));

it("looks once in 2 s at most, whatever is refused, recorded or out", () =>
  play(function* (world) {
    for (const kind of ["unchanged", "unknown"] as const) {
      world.early = kind === "unknown" ? { kind } : { kind, nextOffset: 1 };
      for (let count = 0; count < 100; count++) {
        world.watch.noteOutdated();
        yield* advance(5 * STEP_MS);
      }
    }
    const gapsMs = world.looksAtMs.slice(1).map((atMs, index) =>
      atMs - world.looksAtMs[index]!
    );
    expect(gapsMs.length >= 8).toEqual(true);
    expect(Math.min(...gapsMs) >= LOOK_GAP_MS).toEqual(true);
  }));

it("looks every 4 s where all is well", () =>
  play(function* (world) {
    yield* advance(10 * LOOK_WAIT_MS);
    expect(Math.abs(world.looksAtMs.length - 10) <= 1).toEqual(true);
  }));

interface WatchWorld {
  readonly watch: LeadWatch;
  readonly looksAtMs: number[];
  /** Whether the records name another lead. */
  isReplaced: boolean;
  /** Whether looks that wait for a record get no answer. */
  losesWaits: boolean;
  /** What a look comes to at once. */
  early: LeadLook | undefined;
  reportedAtMs: number | undefined;
  found: LeaderRecord | undefined;
}

function play(
  run: (world: WatchWorld) => Generator<Effect.Effect<unknown>, void, never>,
): Promise<void> {
  const program = Effect.gen(function* () {
    let nowMs = yield* steadyMs;
    yield* Effect.forkScoped(
      Effect.forever(
        Effect.andThen(
          Effect.sleep(1),
          Effect.map(steadyMs, (ms) => {
            nowMs = ms;
          }),
        ),
      ),
    );
    const world: WatchWorld = {
      watch: new LeadWatch({
        awaitOtherLead: (waitMs) => look(world, waitMs),
        reportedAtMs: () => world.reportedAtMs,
        nowMs: () => nowMs,
      }),
      looksAtMs: [],
      isReplaced: false,
      losesWaits: false,
      early: undefined,
      reportedAtMs: undefined,
      found: undefined,
    };
    const fiber = yield* Effect.forkScoped(
      Effect.map(world.watch.awaitReplaced(), (lead) => {
        world.found = lead;
      }),
    );
    yield* Effect.gen(() => run(world));
    yield* Fiber.interrupt(fiber);
  });
  return Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
}

/** A look at records that change, whose answer may be lost. */
function look(world: WatchWorld, waitMs: number): Effect.Effect<LeadLook> {
  return Effect.gen(function* () {
    const startedAtMs = yield* steadyMs;
    world.looksAtMs.push(startedAtMs);
    const isLost = world.losesWaits && !world.isReplaced;
    if (world.early !== undefined) return world.early;
    while ((yield* steadyMs) - startedAtMs < waitMs) {
      if (world.isReplaced && !isLost) return { kind: "taken", lead: OTHER };
      yield* Effect.sleep(STEP_MS);
    }
    return isLost ? { kind: "unknown" } : { kind: "unchanged", nextOffset: 1 };
  });
}

function advance(totalMs: number): Effect.Effect<void> {
  return Effect.gen(function* () {
    for (let passedMs = 0; passedMs < totalMs; passedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
    }
  });
}
