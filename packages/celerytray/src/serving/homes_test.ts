import { expect } from "earl";
import { describe, it } from "node:test";
import { findHomeProblems, intersectHomes } from "./homes.ts";
import type { ServingRoute } from "./serving_config.ts";

const REGIONS = new Map([["a", "north"], ["b", "south"]]);

describe("intersectHomes", () => {
  it("allows all regions if neither names any", () => {
    expect(intersectHomes({}, undefined)).toEqual(undefined);
    expect(intersectHomes({}, {})).toEqual(undefined);
  });

  it("allows the regions in both lists, and none if a list is empty", () => {
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

  it("finds no problem if each region has a zone", () => {
    expect(find(["north", "south"])).toEqual(undefined);
  });

  it("reports regions without a zone, and lists that exclude every zone", () => {
    expect(find(["north", "west"]))
      .toEqual({ unknownRegions: ["west"], refused: [] });
    expect(find(["west"]))
      .toEqual({ unknownRegions: ["west"], refused: ["r"] });
    expect(find([])).toEqual({ unknownRegions: [], refused: ["r"] });
  });
});
