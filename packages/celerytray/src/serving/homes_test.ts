import { expect } from "earl";
import { describe, it } from "node:test";
import { findHomeProblems, intersectHomes } from "./homes.ts";
import type { ServingRoute } from "./serving_config.ts";

const REGIONS = new Map([["a", "north"], ["b", "south"]]);

describe("intersectHomes", () => {
  it("allows all regions where neither names any", () => {
    expect(intersectHomes({}, undefined)).toEqual(undefined);
    expect(intersectHomes({}, {})).toEqual(undefined);
  });

  it("allows what both allow, and nothing where a list is empty", () => {
    const [north, both] = [["north"], ["south", "north"]];
    expect(intersectHomes({ homes: north }, {})).toEqual(north);
    expect(intersectHomes({}, { homes: north })).toEqual(north);
    expect(intersectHomes({ homes: both }, { homes: north })).toEqual(north);
    expect(intersectHomes({ homes: north }, { homes: ["south"] })).toEqual([]);
    expect(intersectHomes({ homes: [] }, { homes: both })).toEqual([]);
    expect(intersectHomes({}, { homes: [] })).toEqual([]);
  });
});

describe("findHomeProblems", () => {
  const find = (homes: readonly string[]) =>
    findHomeProblems({
      routes: [{ name: "r", homes } as unknown as ServingRoute],
      tenants: [{ name: "t", keys: [] }],
    }, REGIONS);

  it("tells of nothing where each region has a zone", () => {
    expect(find(["north", "south"])).toEqual(undefined);
  });

  it("tells of regions without a zone, and of lists that allow nothing", () => {
    expect(find(["north", "west"]))
      .toEqual({ unknownRegions: ["west"], refused: [] });
    expect(find(["west"]))
      .toEqual({ unknownRegions: ["west"], refused: ["r"] });
    expect(find([])).toEqual({ unknownRegions: [], refused: ["r"] });
  });
});
