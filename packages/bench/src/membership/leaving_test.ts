import { expect } from "earl";
import { Clock, Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { VirtualEntries } from "../config/virtual_entries.ts";

const NO_NEW_WORK_MS = 3_000;
const COUNT = 9;

describe("a back end that leaves", () => {
  it("is known on all entry instances within 3 s once one has seen it", () => {
    const group = new VirtualEntries({ count: COUNT, seed: 9 });
    const test = Effect.gen(function* () {
      yield* group.startAll();
      yield* TestClock.adjust(20_000);
      const seenAtMs = yield* Clock.currentTimeMillis;
      group.get(0).membership.noteLeaving("engine-1", seenAtMs);
      yield* TestClock.adjust(NO_NEW_WORK_MS);
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
