import { expect } from "earl";
import { describe, it } from "node:test";
import { offlineValueBound } from "./offline_bound.ts";

describe("boundValue", () => {
  it("serves the work of highest value first, up to its last window", () => {
    const arrivals = [
      { window: 0, work: 3, density: 1, slackWindows: 1 },
      { window: 0, work: 2, density: 5, slackWindows: 0 },
    ];
    expect(offlineValueBound(arrivals, [1, 1, 1])).toEqual(6);
    expect(offlineValueBound(arrivals, [4, 1, 1])).toEqual(13);
  });
});
