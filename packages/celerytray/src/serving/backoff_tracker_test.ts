import { expect } from "earl";
import fc from "fast-check";
import { it } from "node:test";
import { BackoffTracker, MAX_BACKOFF_MS } from "./backoff_tracker.ts";

const SEED = 23;

it("grants a back-off from the response on for the requested time", () => {
  const tracker = new BackoffTracker();
  expect(tracker.isBackingOff("a", 0)).toEqual(false);
  tracker.noteBackoff("a", 2_000, 100);
  expect(tracker.isBackingOff("a", 2_099)).toEqual(true);
  expect(tracker.isBackingOff("b", 2_099)).toEqual(false);
  expect(tracker.isBackingOff("a", 2_100)).toEqual(false);
});

it("keeps the longer of two back-offs", () => {
  const tracker = new BackoffTracker();
  tracker.noteBackoff("a", 5_000, 0);
  tracker.noteBackoff("a", 10, 100);
  expect(tracker.isBackingOff("a", 4_999)).toEqual(true);
});

it("returns when the first of several instances takes requests again", () => {
  const tracker = new BackoffTracker();
  tracker.noteBackoff("a", 2_000, 0);
  tracker.noteBackoff("b", 500, 0);
  expect(tracker.shortestBackoffMs(["a", "b"], 100)).toEqual(400);
  expect(tracker.shortestBackoffMs(["a", "b", "c"], 100)).toEqual(0);
  expect(tracker.shortestBackoffMs([], 100)).toEqual(0);
});

it("limits back-offs that are out of range", () => {
  const asked = fc.double({ min: -1e12, max: 1e15, noNaN: true });
  const property = fc.property(asked, (askedMs) => {
    const tracker = new BackoffTracker();
    const backoffMs = tracker.noteBackoff("a", askedMs, 0);
    expect(backoffMs >= 0 && backoffMs <= MAX_BACKOFF_MS).toEqual(true);
    expect(tracker.isBackingOff("a", MAX_BACKOFF_MS)).toEqual(false);
  });
  fc.assert(property, { seed: SEED });
});

it("removes instances that are gone once their back-off has expired", () => {
  const tracker = new BackoffTracker();
  tracker.noteBackoff("a", 2_000, 0);
  tracker.keepOnly(() => false, 1_000);
  expect(tracker.isBackingOff("a", 1_000)).toEqual(true);
  tracker.keepOnly(() => false, 2_000);
  expect(tracker.isBackingOff("a", 1_000)).toEqual(false);
});
