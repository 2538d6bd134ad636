import { expect } from "earl";
import fc from "fast-check";
import { it } from "node:test";
import { MAX_REST_MS, RestBook } from "./rest_book.ts";

const SEED = 23;

it("grants a rest from the answer on, and no longer", () => {
  const book = new RestBook();
  expect(book.isResting("a", 0)).toEqual(false);
  book.noteRest("a", 2_000, 100);
  expect(book.isResting("a", 2_099)).toEqual(true);
  expect(book.isResting("b", 2_099)).toEqual(false);
  expect(book.isResting("a", 2_100)).toEqual(false);
});

it("keeps the longer of two rests", () => {
  const book = new RestBook();
  book.noteRest("a", 5_000, 0);
  book.noteRest("a", 10, 100);
  expect(book.isResting("a", 4_999)).toEqual(true);
});

it("tells when the first of some takes requests again", () => {
  const book = new RestBook();
  book.noteRest("a", 2_000, 0);
  book.noteRest("b", 500, 0);
  expect(book.shortestRestMs(["a", "b"], 100)).toEqual(400);
  expect(book.shortestRestMs(["a", "b", "c"], 100)).toEqual(0);
  expect(book.shortestRestMs([], 100)).toEqual(0);
});

it("bounds a rest that is absurd", () => {
  const asked = fc.double({ min: -1e12, max: 1e15, noNaN: true });
  const property = fc.property(asked, (askedMs) => {
    const book = new RestBook();
    const restMs = book.noteRest("a", askedMs, 0);
    expect(restMs >= 0 && restMs <= MAX_REST_MS).toEqual(true);
    expect(book.isResting("a", MAX_REST_MS)).toEqual(false);
  });
  fc.assert(property, { seed: SEED });
});

it("forgets instances that are gone once their rest is over", () => {
  const book = new RestBook();
  book.noteRest("a", 2_000, 0);
  book.keepOnly(() => false, 1_000);
  expect(book.isResting("a", 1_000)).toEqual(true);
  book.keepOnly(() => false, 2_000);
  expect(book.isResting("a", 1_000)).toEqual(false);
});
