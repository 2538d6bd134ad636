import { expect } from "earl";
import { describe, it } from "node:test";
import { boundValue } from "./offline_bound.ts";

describe("boundValue", () => {
  it("serves the dearest work first, up to its last window", () => {
    const arrivals = [
      { window: 0, work: 3, density: 1, patience: 1 },
      { window: 0, work: 2, density: 5, patience: 0 },
    ];
    expect(boundValue(arrivals, [1, 1, 1])).toEqual(6);
    expect(boundValue(arrivals, [4, 1, 1])).toEqual(13);
  });
});
