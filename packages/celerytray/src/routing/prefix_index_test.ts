import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { type CacheEvent, PrefixIndex } from "./prefix_index.ts";

const HASHES = [1, 2, 3, 4];
const SEED = 41;
const REPLICA_ID = "drafter/0";

const change = fc.record({
  stored: fc.subarray(HASHES),
  removed: fc.subarray(HASHES),
});

/** Simulates an engine; returns its events and its cache after each one. */
function simulateEngine(
  changes: readonly { readonly stored: number[]; readonly removed: number[] }[],
) {
  const cache = new Set<number>();
  const caches: ReadonlySet<number>[] = [];
  const events = changes.map((made, index): CacheEvent => {
    for (const hash of made.removed) cache.delete(hash);
    for (const hash of made.stored) cache.add(hash);
    caches.push(new Set(cache));
    return {
      ...made,
      replicaId: REPLICA_ID,
      bootId: "1",
      sequence: index + 1,
      nowMs: index,
    };
  });
  return { events, caches };
}

describe("PrefixIndex", () => {
  it("confirms only blocks that the engine held at the newest event seen", () => {
    const property = fc.property(
      fc.array(change, { minLength: 1, maxLength: 20 }),
      fc.array(fc.nat(19), { maxLength: 40 }),
      (changes, deliveries) => {
        const { events, caches } = simulateEngine(changes);
        const index = new PrefixIndex();
        let highest = -1;
        for (const delivery of deliveries) {
          const position = delivery % events.length;
          index.noteEvent(events[position]!);
          highest = Math.max(highest, position);
          for (const hash of HASHES) {
            const [holder] = index.findHolders([hash], 0);
            if (holder?.trust !== "confirmed") continue;
            expect(caches[highest]!.has(hash)).toEqual(true);
          }
        }
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });

  it("confirms a stored block until an event is missing", () => {
    const index = new PrefixIndex();
    const event = { replicaId: REPLICA_ID, bootId: "1", removed: [], nowMs: 0 };
    const trust = () => index.findHolders([1], 0)[0]?.trust;
    index.noteEvent({ ...event, sequence: 7, stored: [1] });
    expect(trust()).toEqual("confirmed");
    index.noteEvent({ ...event, sequence: 8, stored: [2] });
    expect(trust()).toEqual("confirmed");
    index.noteEvent({ ...event, sequence: 10, stored: [3] });
    expect(trust()).toEqual("doubtful");
  });

  it("expects, without confirming, blocks of prompts that were sent", () => {
    const index = new PrefixIndex();
    index.noteSent(REPLICA_ID, { prefixHashes: [1, 2], nowMs: 0 });
    const found = index.findHolders([1, 2, 3], 5);
    expect(found).toEqual([
      { replicaId: REPLICA_ID, blockCount: 2, trust: "expected", ageMs: 5 },
    ]);
  });

  it("never exceeds its size limit", () => {
    const property = fc.property(
      fc.array(fc.tuple(fc.nat(50), fc.nat(5)), { maxLength: 100 }),
      (sent) => {
        const index = new PrefixIndex({ maxHoldings: 10 });
        for (const [hash, replica] of sent) {
          index.noteSent(`drafter/${replica}`, {
            prefixHashes: [hash, hash + 1],
            nowMs: 0,
          });
          expect(index.size <= 10).toEqual(true);
        }
      },
    );
    fc.assert(property, { seed: SEED });
  });
});
