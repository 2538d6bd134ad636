import { Clock, Effect } from "effect";
import { TestClock } from "effect/testing";
import { expect } from "earl";
import { describe, it } from "node:test";
import { readSteadyMs } from "../clock/index.ts";
import { PaceTracker, StallDetector } from "../serving/index.ts";
import { moveAttempts } from "./move_attempts.ts";

const STEP_MS = 50;
const USUAL_PAUSE_MS = 40;
const SLOW_PAUSE_MS = 400;

// Load: several long prompts that arrive at one head, whose streams pause while
// it reads them. A move would make them late, and the head is soon fast again.
describe("moveAttempts with a head that turns slow", () => {
  it("keeps its streams for the first half second", async () => {
    expect(await countMoves(400)).toEqual(0);
  });

  it("moves its streams once it has been slow for longer", async () => {
    expect(await countMoves(800) > 0).toEqual(true);
  });
});

/** Runs a head that is slow for a time; returns how often its stream is moved. */
function countMoves(slowForMs: number): Promise<number> {
  const paces = new PaceTracker();
  const stalls = new StallDetector();
  let moves = 0;
  stalls.watch({
    instanceId: "slow",
    model: "m",
    startedAtMs: 0,
    hasStarted: () => true,
    isPaused: () => false,
    rank: () => 0,
    tryMove: (reason) => {
      if (reason === "slow") moves += 1;
      return true;
    },
  });
  const notePauses = (slowPauseMs: number, nowMs: number) => {
    for (const instanceId of ["a", "b", "slow"]) {
      const pauseMs = instanceId === "slow" ? slowPauseMs : USUAL_PAUSE_MS;
      const pause = { instanceId, epoch: 1, model: "m", pauseMs, nowMs };
      for (let count = 0; count < 40; count += 1) paces.notePause(pause);
    }
  };
  const program = Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => readSteadyMs(clock);
    yield* Effect.forkChild(moveAttempts({
      stalls,
      paces,
      isBehind: () => false,
      nowMs,
      record: () => {},
      closedHeads: () => [],
    }));
    for (let atMs = 0; atMs < slowForMs + 400; atMs += STEP_MS) {
      notePauses(atMs < slowForMs ? SLOW_PAUSE_MS : USUAL_PAUSE_MS, nowMs());
      yield* TestClock.adjust(STEP_MS);
    }
  });
  return Effect.runPromise(program.pipe(Effect.provide(TestClock.layer())))
    .then(() => moves);
}
