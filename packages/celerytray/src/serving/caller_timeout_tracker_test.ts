import { expect } from "earl";
import { it } from "node:test";
import { CallerTimeoutTracker } from "./caller_timeout_tracker.ts";

it("returns by how much a timeout is below the longest one of its route", () => {
  const timeouts = new CallerTimeoutTracker();
  expect(timeouts.noteTimeout("a", 6_000)).toEqual(0);
  expect(timeouts.noteTimeout("b", 1_500)).toEqual(0);
  expect(timeouts.noteTimeout("a", 4_700)).toEqual(1_300);
  expect(timeouts.noteTimeout("a", 8_000)).toEqual(0);
  expect(timeouts.noteTimeout("a", 6_000)).toEqual(2_000);
});
