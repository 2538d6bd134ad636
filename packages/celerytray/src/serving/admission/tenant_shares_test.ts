import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { TenantShares, waterFillingLevel } from "./tenant_shares.ts";

const SEED = 72;
const ROUNDING = 1e-6;

describe("TenantShares", () => {
  // Guards against shares that add up to more or less than the capacity.
  it("serves demands up to a level that uses the whole capacity", () => {
    const property = fc.property(
      fc.array(fc.integer({ min: 1, max: 900 }), { minLength: 1 }),
      fc.integer({ min: 1, max: 100 }),
      (demands, percent) => {
        const level = waterFillingLevel(demands, percent / 100);
        const met = demands.reduce((sum, one) => sum + Math.min(one, level), 0);
        const all = demands.reduce((sum, one) => sum + one, 0);
        expect(Math.abs(met - all * percent / 100) < ROUNDING * all)
          .toEqual(true);
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });

  it("uses the process's own requests while totals are unknown", () => {
    const usage = new Map([
      ["big", { inProgress: 8, waiting: 30 }],
      ["small", { inProgress: 1, waiting: 1 }],
    ]);
    const shares = new TenantShares({ totals: undefined, usage });
    expect(shares.isWithinShare("small")).toEqual(true);
    expect(shares.isWithinShare("big")).toEqual(false);
    expect(shares.excessRatioOf("small")).toEqual(0);
    expect(shares.excessRatioOf("big") > 1).toEqual(true);
    expect(shares.isWithinShare("new")).toEqual(true);
  });

  it("counts requests of other processes", () => {
    const usage = new Map([
      ["here", { inProgress: 3, waiting: 3 }],
      ["everywhere", { inProgress: 3, waiting: 3 }],
    ]);
    const totals = { here: 6, everywhere: 600 };
    const shares = new TenantShares({ totals, usage });
    expect(shares.isWithinShare("here")).toEqual(true);
    expect(shares.isWithinShare("everywhere")).toEqual(false);
  });
});
