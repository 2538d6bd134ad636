import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { DemandTable } from "../membership/index.ts";
import { DemandMeter } from "./demand_meter.ts";

const SEED = 51;
const ROUNDING = 1e-9;
const ORGANISATION = "org";

describe("shares of a rate limit", () => {
  it("add up to at most 1 if all entry instances have the same reports", () => {
    const property = fc.property(
      fc.array(fc.nat(1_000), { minLength: 1, maxLength: 9 }),
      (demands) => {
        const tables = demands.map((demand) => {
          const table = new DemandTable({
            countLive: () => demands.length,
            maxAgeMs: 1_000,
          });
          table.setOwnDemand(ORGANISATION, demand);
          return table;
        });
        tables.forEach((table, index) =>
          tables.forEach((peer, peerIndex) => {
            if (peerIndex === index) return;
            const report = peer.createReport();
            table.noteReport(`e${peerIndex}`, { report, nowMs: 0 });
          })
        );
        const shares = tables.map((table) => table.shareOf(ORGANISATION, 0));
        const sum = shares.reduce((total, share) => total + share, 0);
        expect(sum <= 1 + ROUNDING).toEqual(true);
        expect(shares.every((share) => share > 0)).toEqual(true);
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });

  it("follow the offered requests and drop organisations that stop", () => {
    const rates = new Map<string, number>();
    const meter = new DemandMeter({
      onRate: (name, rate) => rates.set(name, rate),
    });
    for (let nowMs = 0; nowMs <= 1_000; nowMs += 100) {
      meter.noteOffered("a", nowMs);
    }
    expect(rates.get("a")).toEqual(10);
    for (let nowMs = 2_000; nowMs <= 20_000; nowMs += 1_000) {
      meter.noteOffered("b", nowMs);
    }
    expect(rates.get("a")).toEqual(0);
    expect(rates.get("b")).toEqual(1);
  });
});
