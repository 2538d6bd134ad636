import { expect } from "earl";
import fc from "fast-check";
import { it } from "node:test";
import { BackoffTracker, MAX_BACKOFF_MS } from "./backoff_tracker.ts";

const SEED = 23;

it("grants a back-off from the answer on, and no longer", () => {
  const book = new BackoffTracker();
  expect(book.isBackingOff("a", 0)).toEqual(false);
  book.noteBackoff("a", 2_000, 100);
  expect(book.isBackingOff("a", 2_099)).toEqual(true);
  expect(book.isBackingOff("b", 2_099)).toEqual(false);
  expect(book.isBackingOff("a", 2_100)).toEqual(false);
});

it("keeps the longer of two backoffs", () => {
  const book = new BackoffTracker();
  book.noteBackoff("a", 5_000, 0);
  book.noteBackoff("a", 10, 100);
  expect(book.isBackingOff("a", 4_999)).toEqual(true);
});

it("tells when the first of some takes requests again", () => {
  const book = new BackoffTracker();
  book.noteBackoff("a", 2_000, 0);
  book.noteBackoff("b", 500, 0);
  expect(book.shortestBackoffMs(["a", "b"], 100)).toEqual(400);
  expect(book.shortestBackoffMs(["a", "b", "c"], 100)).toEqual(0);
  expect(book.shortestBackoffMs([], 100)).toEqual(0);
});

it("bounds a back-off that is absurd", () => {
  const asked = fc.double({ min: -1e12, max: 1e15, noNaN: true });
  const property = fc.property(asked, (askedMs) => {
    const book = new BackoffTracker();
    const backoffMs = book.noteBackoff("a", askedMs, 0);
    expect(backoffMs >= 0 && backoffMs <= MAX_BACKOFF_MS).toEqual(true);
    expect(book.isBackingOff("a", MAX_BACKOFF_MS)).toEqual(false);
  });
  fc.assert(property, { seed: SEED });
});

it("forgets instances that are gone once their rest is over", () => {
  const book = new BackoffTracker();
  book.noteBackoff("a", 2_000, 0);
  book.keepOnly(() => false, 1_000);
  expect(book.isBackingOff("a", 1_000)).toEqual(true);
  book.keepOnly(() => false, 2_000);
  expect(book.isBackingOff("a", 1_000)).toEqual(false);
});
