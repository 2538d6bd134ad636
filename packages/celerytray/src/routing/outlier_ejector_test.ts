import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { OutlierEjector } from "./outlier_ejector.ts";

const SEED = 42;
const MAX_SHARE = 0.25;
const SERVICE = "drafter";

const step = fc.record({
  replica: fc.nat(11),
  kind: fc.constantFrom("served" as const, "failed" as const),
  firstTokenMs: fc.constantFrom(10, 20, 5_000),
  size: fc.integer({ min: 1, max: 12 }),
  elapsedMs: fc.constantFrom(0, 100, 20_000),
});

describe("OutlierEjector", () => {
  it("never ejects more than the allowed share of a service", () => {
    const property = fc.property(
      fc.array(step, { maxLength: 200 }),
      (steps) => {
        const ejector = new OutlierEjector({
          maxEjectedShare: MAX_SHARE,
          consecutiveFailures: 2,
          minSamples: 2,
        });
        let nowMs = 0;
        for (const { replica, kind, firstTokenMs, size, elapsedMs } of steps) {
          nowMs += elapsedMs;
          ejector.setSize(SERVICE, size);
          ejector.noteOutcome({
            service: SERVICE,
            replicaId: `${SERVICE}/${replica}`,
            kind,
            firstTokenMs,
            nowMs,
          });
          const ejected = ejector.countEjected(SERVICE, nowMs);
          expect(ejected <= size * MAX_SHARE).toEqual(true);
        }
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });

  it("ejects a failing replica and readmits it with a slow start", () => {
    const ejector = new OutlierEjector({
      consecutiveFailures: 2,
      baseEjectionMs: 1_000,
      slowStartMs: 10_000,
    });
    ejector.setSize(SERVICE, 10);
    const outcome = {
      service: SERVICE,
      replicaId: "drafter/1",
      kind: "failed" as const,
      nowMs: 0,
    };
    const shareAt = (nowMs: number) =>
      ejector.shareOf("drafter/1", { service: SERVICE, nowMs });
    ejector.noteOutcome(outcome);
    expect(shareAt(0)).toEqual(1);
    ejector.noteOutcome(outcome);
    expect(shareAt(999)).toEqual(0);
    expect(shareAt(1_000)).toEqual(0.1);
    expect(shareAt(6_000)).toEqual(0.5);
    expect(shareAt(11_000)).toEqual(1);
  });

  it("ejects a replica that is much slower than its service", () => {
    const ejector = new OutlierEjector({ minSamples: 5 });
    ejector.setSize(SERVICE, 10);
    for (let round = 0; round < 10; round++) {
      for (let replica = 0; replica < 10; replica++) {
        ejector.noteOutcome({
          service: SERVICE,
          replicaId: `drafter/${replica}`,
          kind: "served",
          firstTokenMs: replica === 3 ? 900 : 50,
          nowMs: round,
        });
      }
    }
    const at = { service: SERVICE, nowMs: 10 };
    expect(ejector.shareOf("drafter/3", at)).toEqual(0);
    expect(ejector.countEjected(SERVICE, 10)).toEqual(1);
  });
});
