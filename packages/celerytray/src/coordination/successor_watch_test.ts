import { expect } from "earl";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { it } from "node:test";
import { steadyMs } from "../clock/index.ts";
import type { LeaderRecord } from "../groups/index.ts";
import { leaderTimeoutMs } from "./intervals.ts";
import type { LeaderCheck } from "./leader_log.ts";
import {
  CHECK_WAIT_MS,
  MIN_CHECK_INTERVAL_MS,
  SuccessorWatch,
} from "./successor_watch.ts";

const STEP_MS = 20;
/**
 * Longest time to notice a reason for a check and to get the store's response.
 */
const MAX_DETECTION_MS = 140;
const OTHER: LeaderRecord = {
  nodeId: "other",
  bootId: "boot",
  peerAddress: "1",
  term: 9,
};

it("detects a successor when its record is written", () =>
  runTest(function* (state) {
    yield* advance(CHECK_WAIT_MS / 4);
    state.isReplaced = true;
    yield* advance(STEP_MS);
    expect(state.found).toEqual(OTHER);
  }));

it("checks again after a refused order while a response is lost", () =>
  runTest(function* (state) {
    state.losesResponses = true;
    yield* advance(CHECK_WAIT_MS + MIN_CHECK_INTERVAL_MS);
    state.isReplaced = true;
    yield* advance(MAX_DETECTION_MS);
    expect(state.found).toEqual(undefined);
    state.watch.noteOutdatedOrder();
    yield* advance(MAX_DETECTION_MS);
    expect(state.found).toEqual(OTHER);
  }));

it("checks again once when reports stop while a response is lost", () =>
  runTest(function* (state) {
    state.losesResponses = true;
    yield* advance(CHECK_WAIT_MS + MIN_CHECK_INTERVAL_MS);
    state.reportedAtMs = yield* steadyMs;
    const checkCount = state.checksAtMs.length;
    yield* advance(leaderTimeoutMs("direct"));
    expect(state.checksAtMs.length).toEqual(checkCount);
    yield* advance(MAX_DETECTION_MS);
    expect(state.checksAtMs.length).toEqual(checkCount + 1);
    yield* advance(CHECK_WAIT_MS - MAX_DETECTION_MS);
    expect(state.checksAtMs.length).toEqual(checkCount + 1);
  }));

it("expects no reports before the first one", () =>
  runTest(function* (state) {
    yield* advance(CHECK_WAIT_MS - STEP_MS);
    expect(state.checksAtMs.length).toEqual(1);
  }));

it("checks at most once in 2 s, despite refused orders, other records and outages", () =>
  runTest(function* (state) {
    for (const kind of ["unchanged", "unknown"] as const) {
      state.immediateResult = kind === "unknown"
        ? { kind }
        : { kind, nextOffset: 1 };
      for (let count = 0; count < 100; count++) {
        state.watch.noteOutdatedOrder();
        yield* advance(5 * STEP_MS);
      }
    }
    const gapsMs = state.checksAtMs.slice(1).map((atMs, index) =>
      atMs - state.checksAtMs[index]!
    );
    expect(gapsMs.length >= 8).toEqual(true);
    expect(Math.min(...gapsMs) >= MIN_CHECK_INTERVAL_MS).toEqual(true);
  }));

it("checks every 4 s in normal operation", () =>
  runTest(function* (state) {
    yield* advance(10 * CHECK_WAIT_MS);
    expect(Math.abs(state.checksAtMs.length - 10) <= 1).toEqual(true);
  }));

interface WatchState {
  readonly watch: SuccessorWatch;
  readonly checksAtMs: number[];
  /** Whether the records name a successor. */
  isReplaced: boolean;
  /** Whether responses to reads that wait for a record are lost. */
  losesResponses: boolean;
  /** Result that a check returns at once, if set. */
  immediateResult: LeaderCheck | undefined;
  reportedAtMs: number | undefined;
  found: LeaderRecord | undefined;
}

function runTest(
  run: (
    state: WatchState,
  ) => Generator<Effect.Effect<unknown>, void, never>,
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
    const state: WatchState = {
      watch: new SuccessorWatch({
        awaitSuccessor: (waitMs) => checkRecords(state, waitMs),
        reportedAtMs: () => state.reportedAtMs,
        nowMs: () => nowMs,
      }),
      checksAtMs: [],
      isReplaced: false,
      losesResponses: false,
      immediateResult: undefined,
      reportedAtMs: undefined,
      found: undefined,
    };
    const fiber = yield* Effect.forkScoped(
      Effect.map(state.watch.awaitEndOfTerm(), (check) => {
        if (check.kind === "taken") state.found = check.leader;
      }),
    );
    yield* Effect.gen(() => run(state));
    yield* Fiber.interrupt(fiber);
  });
  return Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
}

/** Simulates a check of the records, whose response may be lost. */
function checkRecords(
  state: WatchState,
  waitMs: number,
): Effect.Effect<LeaderCheck> {
  return Effect.gen(function* () {
    const startedAtMs = yield* steadyMs;
    state.checksAtMs.push(startedAtMs);
    const isLost = state.losesResponses && !state.isReplaced;
    if (state.immediateResult !== undefined) return state.immediateResult;
    while ((yield* steadyMs) - startedAtMs < waitMs) {
      if (state.isReplaced && !isLost) return { kind: "taken", leader: OTHER };
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
