import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { it } from "node:test";
import { EraTrackingLog } from "./era_tracking_log.ts";
import { HistoryDropped, type KeyedLog, type KeyedPage } from "./keyed_log.ts";
import { createPosition } from "./position.ts";

const NOTICED_AT_MS = 1_000;
const READ_AFTER_MS = 400;

// Guards against a process that counts the time in which instances write anew
// from its first look at the list, though other answers told of the return.
it("says when the first answer of an era came, to whatever call", async () => {
  for (const call of ["read", "append"] as const) {
    const { page, noticedAtMs } = await readAfter(call);
    expect(page.eraStart).toEqual({
      copyEnd: page.nextOffset,
      returnedAtMs: noticedAtMs,
    });
  }
});

/** Reads a topic some time after another call was answered in a new era. */
function readAfter(call: "read" | "append") {
  const nextOffset = createPosition({ era: 1, offset: 2 });
  const page: KeyedPage = { records: [], nextOffset };
  let era = 0;
  const log: KeyedLog = new EraTrackingLog({
    readNewest: () =>
      Effect.sync(() => era === 0 ? { records: [], nextOffset: 0 } : page),
    read: () =>
      Effect.suspend(() =>
        Effect.fail(new HistoryDropped({ message: "gone", era }))
      ),
    append: () => Effect.sync(() => createPosition({ era, offset: 2 })),
  });
  const program = Effect.gen(function* () {
    yield* log.readNewest("instances");
    yield* TestClock.adjust(NOTICED_AT_MS);
    era = 1;
    yield* Effect.ignore(
      call === "read"
        ? log.read("config", { fromOffset: 0, waitMs: 0 })
        : log.append("fleet", { key: "a" }),
    );
    yield* TestClock.adjust(READ_AFTER_MS);
    return {
      page: yield* log.readNewest("instances"),
      noticedAtMs: NOTICED_AT_MS,
    };
  });
  return Effect.runPromise(program.pipe(Effect.provide(TestClock.layer())));
}
