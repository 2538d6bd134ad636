import { expect } from "earl";
import { it } from "node:test";
import { LoopLag } from "./loop_lag.ts";

it("reports sustained lag and counts as behind for a second after it", () => {
  const lag = new LoopLag();
  for (const atMs of [0, 50, 100]) lag.recordTick(atMs);
  expect([lag.lagMs(150), lag.isBehind(150)]).toEqual([0, false]);
  // A single pause, as in garbage collection.
  lag.recordTick(450);
  expect([lag.lagMs(460), lag.isBehind(460)]).toEqual([0, true]);
  lag.recordTick(800);
  expect(lag.lagMs(800)).toEqual(300);
  lag.recordTick(850);
  expect([lag.lagMs(850), lag.isBehind(1_799)]).toEqual([0, true]);
  for (let atMs = 900; atMs <= 1_800; atMs += 50) lag.recordTick(atMs);
  expect(lag.isBehind(1_800)).toEqual(false);
});
