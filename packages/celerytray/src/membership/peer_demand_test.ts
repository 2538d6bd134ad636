import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { DemandTable } from "./peer_demand.ts";

const ORGANISATION = "tillicum";
const MAX_AGE_MS = 10_000;
const NEGLIGIBLE = 1e-9;

/** Creates one table per demand, each with the reports of all others. */
function createTables(demands: readonly number[]): DemandTable[] {
  const tables = demands.map((demand) => {
    const table = new DemandTable({
      countLive: () => demands.length,
      maxAgeMs: MAX_AGE_MS,
    });
    table.setOwnDemand(ORGANISATION, demand);
    return table;
  });
  tables.forEach((table, index) =>
    tables.forEach((other, otherIndex) => {
      if (index === otherIndex) return;
      const report = other.createReport();
      table.noteReport(`entry-${otherIndex}`, { report, nowMs: 0 });
    })
  );
  return tables;
}

describe("DemandTable.shareOf", () => {
  it("gives shares that add up to the limit and increase with demand", () => {
    const demands = fc.array(fc.nat(1_000), { minLength: 1, maxLength: 20 });
    fc.assert(
      fc.property(demands, (given) => {
        const shares = createTables(given).map((table) =>
          table.shareOf(ORGANISATION, 0)
        );
        const total = shares.reduce((sum, share) => sum + share, 0);
        expect(total).toBeLessThanOrEqual(1 + NEGLIGIBLE);
        expect(total).toBeGreaterThanOrEqual(1 - NEGLIGIBLE);
        given.forEach((demand, index) =>
          given.forEach((other, otherIndex) => {
            if (demand <= other) return;
            expect(shares[index]!).toBeGreaterThan(shares[otherIndex]!);
          })
        );
      }),
      { seed: 41, numRuns: 300 },
    );
  });

  it("gives equal shares where no demand is known or reports expired", () => {
    const [table] = createTables([100, 0, 0, 0]);
    expect(table!.shareOf(ORGANISATION, MAX_AGE_MS + 1)).toEqual(0.25);
    expect(table!.shareOf("other", 0)).toEqual(0.25);
  });
});
