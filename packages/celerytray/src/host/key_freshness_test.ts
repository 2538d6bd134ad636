import { expect } from "earl";
import { it } from "node:test";
import { KeyFreshness } from "./key_freshness.ts";

const MAX_AGE_MS = 4_000;
const MAX_GAP_MS = 2_000;

function createClocks() {
  const time = { steadyMs: 0, wallMs: 1_000_000, clockJumps: 0 };
  const endedGapsMs: number[] = [];
  const keys = new KeyFreshness({
    maxAgeMs: MAX_AGE_MS,
    maxGapMs: MAX_GAP_MS,
    onGapEnded: (ageMs) => endedGapsMs.push(ageMs),
    steadyMs: () => time.steadyMs,
    wallMs: () => time.wallMs,
    onClockJump: () => time.clockJumps += 1,
  });
  const pass = (ms: number) => {
    time.steadyMs += ms;
    time.wallMs += ms;
  };
  return { keys, time, pass, endedGapsMs };
}

it("trusts keys for a limited time after a proof", () => {
  const { keys, time, pass } = createClocks();
  expect(keys.isFresh()).toEqual(false);
  keys.noteProof(time.steadyMs);
  pass(MAX_AGE_MS - 1);
  expect(keys.isFresh()).toEqual(true);
  pass(1);
  expect(keys.isFresh()).toEqual(false);
});

it("trusts no keys from before the machine was suspended", () => {
  const { keys, time, pass } = createClocks();
  keys.noteProof(time.steadyMs);
  pass(1_000);
  // The steady clock does not count time while the machine is suspended.
  time.wallMs += 3_500;
  expect(keys.isFresh()).toEqual(false);
  expect(time.clockJumps).toEqual(1);
  keys.noteProof(time.steadyMs - 1);
  expect(keys.isFresh()).toEqual(false);
  pass(10);
  keys.noteProof(time.steadyMs - 5);
  expect(keys.isFresh()).toEqual(true);
});

it("does not extend trust when the wall clock is set back", () => {
  const { keys, time, pass } = createClocks();
  keys.noteProof(time.steadyMs);
  pass(3_000);
  time.wallMs -= 2_400;
  expect(keys.isFresh()).toEqual(false);
  keys.noteProof(time.steadyMs);
  pass(MAX_AGE_MS);
  expect(keys.isFresh()).toEqual(false);
});

// Guards against a log line at each of many proofs that are outdated on arrival.
it("reports a time without a proof once, when it ends", () => {
  const { keys, time, pass, endedGapsMs } = createClocks();
  keys.noteProof(time.steadyMs);
  for (let proof = 0; proof < 10; proof++) {
    pass(500);
    keys.noteProof(time.steadyMs - MAX_GAP_MS - 1_000);
  }
  expect(endedGapsMs).toEqual([]);
  keys.noteProof(time.steadyMs - 100);
  keys.noteProof(time.steadyMs);
  expect(endedGapsMs).toEqual([3_000]);
});
