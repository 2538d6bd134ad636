import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { computeShare } from "./demand_shares.ts";

const SEED = 51;
const ROUNDING = 1e-9;
const IDS = ["e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"];

describe("computeShare", () => {
  it("gives parts that add up to at most 1 where all see the same", () => {
    const property = fc.property(
      fc.subarray(IDS, { minLength: 1 }),
      fc.dictionary(
        fc.constantFrom(...IDS),
        fc.double({ min: -5, max: 1e6, noNaN: true }),
      ),
      (entryIds, demand) => {
        const peers = {
          demandOf: () => new Map(Object.entries(demand)),
          listEntryIds: () => entryIds,
        };
        const shares = entryIds.map((entryId) =>
          computeShare("org", { entryId, peers })
        );
        const sum = shares.reduce((total, share) => total + share, 0);
        expect(sum <= 1 + ROUNDING).toEqual(true);
        expect(shares.every((share) => share > 0)).toEqual(true);
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });

  it("is equal where no demand is known and follows demand where it is", () => {
    const share = (demand: Record<string, number>) =>
      computeShare("org", {
        entryId: "e1",
        peers: {
          demandOf: () => new Map(Object.entries(demand)),
          listEntryIds: () => ["e1", "e2"],
        },
      });
    expect(share({})).toEqual(0.5);
    expect(share({ e1: 30, e2: 10 })).toEqual(0.05 + 0.9 * 0.75);
  });
});
