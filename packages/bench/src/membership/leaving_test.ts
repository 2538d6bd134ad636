import { expect } from "earl";
import { Clock, Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { VirtualEntries } from "../config/virtual_entries.ts";

const PROPAGATION_MS = 3_000;
const COUNT = 9;

describe("a backend server that is leaving", () => {
  it("is known to all entry instances within 3 s of its detection by one, and forgotten 20 s later", () => {
    const group = new VirtualEntries({ count: COUNT, seed: 9 });
    const test = Effect.gen(function* () {
      yield* group.startAll();
      yield* TestClock.adjust(20_000);
      const seenAtMs = yield* Clock.currentTimeMillis;
      group.get(0).membership.noteLeaving("engine-1", seenAtMs);
      yield* TestClock.adjust(PROPAGATION_MS);
      const nowMs = yield* Clock.currentTimeMillis;
      for (const { membership } of group.entries.values()) {
        expect(membership.leaving.isLeaving("engine-1", nowMs)).toEqual(true);
      }
      yield* TestClock.adjust(20_000);
      const laterMs = yield* Clock.currentTimeMillis;
      for (const { membership } of group.entries.values()) {
        expect(membership.leaving.isLeaving("engine-1", laterMs)).toEqual(
          false,
        );
      }
    });
    return Effect.runPromise(test.pipe(Effect.provide(TestClock.layer())));
  });
});
