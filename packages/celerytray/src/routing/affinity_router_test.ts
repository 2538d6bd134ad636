import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { AffinityRouter } from "./affinity_router.ts";
import type { ReplicaLoad, RoutingRequest } from "./router.ts";

const SEED = 43;

function createCandidates(count: number): ReplicaLoad[] {
  return Array.from({ length: count }, (_, index) => ({
    replicaId: `drafter/${index}`,
    availabilityZone: "a",
    reportedRequests: 0,
    sentSinceReport: 0,
    modelVersion: String(index % 2),
  }));
}

describe("AffinityRouter", () => {
  it("chooses an eligible replica whenever there is one", () => {
    const property = fc.property(
      fc.integer({ min: 1, max: 8 }),
      fc.array(
        fc.record({
          excluded: fc.subarray([0, 1, 2, 3, 4, 5, 6, 7]),
          modelVersion: fc.constantFrom("0", "1"),
          kind: fc.constantFrom("served" as const, "failed" as const),
        }),
        { maxLength: 30 },
      ),
      (count, steps) => {
        const router = new AffinityRouter({ seed: SEED });
        const candidates = createCandidates(count);
        for (const { excluded, modelVersion, kind } of steps) {
          const excludedIds = new Set(excluded.map((id) => `drafter/${id}`));
          const eligible = candidates.filter((candidate) =>
            !excludedIds.has(candidate.replicaId) &&
            candidate.modelVersion === modelVersion
          );
          const chosen = router.choose(candidates, {
            availabilityZone: "a",
            prefixHashes: [1, 2],
            excludedIds,
            modelVersion,
            nowMs: 0,
          });
          expect(chosen === undefined).toEqual(eligible.length === 0);
          if (chosen === undefined) continue;
          expect(eligible.includes(chosen)).toEqual(true);
          const { replicaId } = chosen;
          router.noteOutcome({ service: "drafter", replicaId, kind, nowMs: 0 });
        }
      },
    );
    fc.assert(property, { seed: SEED });
  });

  it("prefers the replica that holds the prefix until its queue is too long", () => {
    const router = new AffinityRouter({ seed: SEED });
    const candidates = createCandidates(10);
    const prefixHashes = Array.from({ length: 14 }, (_, block) => block);
    const request: RoutingRequest = {
      availabilityZone: "a",
      prefixHashes,
      nowMs: 0,
    };
    const first = router.choose(candidates, request)!;
    const second = router.choose(candidates, { ...request, nowMs: 1_000 });
    expect(second).toEqual(first);
    const burst = Array.from(
      { length: 50 },
      () => router.choose(candidates, { ...request, nowMs: 2_000 })!,
    );
    const used = new Set(burst.map(({ replicaId }) => replicaId));
    expect(used.size > 1).toEqual(true);
  });
});
