import { expect } from "earl";
import { describe, it } from "node:test";
import { GracefulStop } from "./graceful_stop.ts";
import { testRoute } from "./test_entry.ts";

const ROUTE = testRoute.name;

// Guards against requests that are taken late in a planned stop, passed on, and
// cut off without an answer at its end.
describe("GracefulStop", () => {
  it("takes everything before a stop", () => {
    const stop = new GracefulStop();
    expect(stop.isTooLate(createCall(1_000_000), 0)).toEqual(false);
  });

  it("takes what its deadline ends in time, whatever is known", () => {
    const stop = new GracefulStop();
    stop.begin(7_000);
    expect(stop.isTooLate(createCall(7_000), 0)).toEqual(false);
    expect(stop.isTooLate(createCall(7_001), 0)).toEqual(true);
  });

  it("takes what the last answers show to end in time", () => {
    const stop = new GracefulStop();
    stop.noteAnswered(ROUTE, 300, 0);
    stop.noteAnswered(ROUTE, 4_000, 0);
    stop.noteAnswered(ROUTE, 500, 0);
    stop.begin(7_000);
    expect(stop.isTooLate(createCall(60_000), 2_000)).toEqual(false);
    expect(stop.isTooLate(createCall(60_000), 2_001)).toEqual(true);
    expect(stop.isTooLate(createCall(6_900), 2_001)).toEqual(false);
  });

  it("forgets answers of long ago", () => {
    const stop = new GracefulStop();
    stop.noteAnswered(ROUTE, 4_000, 0);
    stop.noteAnswered(ROUTE, 100, 30_001);
    stop.begin(62_000);
    expect(stop.isTooLate(createCall(120_000), 59_000)).toEqual(true);
    expect(stop.isTooLate(createCall(120_000), 60_002)).toEqual(false);
    const idle = new GracefulStop();
    idle.noteAnswered(ROUTE, 100, 0);
    idle.begin(62_000);
    expect(idle.isTooLate(createCall(120_000), 60_000)).toEqual(true);
  });

  it("takes nothing once all is refused", () => {
    const stop = new GracefulStop();
    stop.begin(7_000);
    stop.refuseAll();
    expect(stop.isTooLate(createCall(10), 0)).toEqual(true);
  });
});

function createCall(deadlineAtMs: number) {
  return { route: testRoute, deadlineAtMs };
}
