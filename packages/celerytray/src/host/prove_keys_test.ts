import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { it } from "node:test";
import { Left } from "purify-ts";
import { steadyMs } from "../clock/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import {
  type KeyedLog,
  type KeyedPage,
  StoreUnavailable,
} from "../keyed_log/index.ts";
import { ConfigView } from "./config_view.ts";
import { KeyFreshness } from "./key_freshness.ts";
import { proveKeys } from "./prove_keys.ts";

const OUTAGE_MS = 1_000;
const STEP_MS = 10;
const MAX_AGE_MS = 4_000;
const MAX_READS_PER_SECOND = 5;

it("limits reads of a store that refuses them and logs each failure", async () => {
  const { reads, logLines, isFresh, needsProof } = await runOutage();
  expect(reads.failed > 0).toEqual(true);
  expect(reads.failed <= MAX_READS_PER_SECOND).toEqual(true);
  expect(logLines).toEqual(
    Array.from({ length: reads.failed }, () => "keys.proof-failed busy"),
  );
  expect(reads.answered).toEqual(1);
  expect({ isFresh, needsProof }).toEqual({ isFresh: true, needsProof: false });
});

/** Simulates a store that refuses reads for a time, then returns no changes. */
function runOutage() {
  const reads = { failed: 0, answered: 0 };
  const logLines: string[] = [];
  let isRefusing = true;
  const read = Effect.suspend(
    (): Effect.Effect<KeyedPage, StoreUnavailable> => {
      if (isRefusing) {
        reads.failed += 1;
        return Effect.fail(new StoreUnavailable({ message: "busy" }));
      }
      reads.answered += 1;
      return Effect.succeed({ records: [], nextOffset: 0 });
    },
  );
  const log: KeyedLog = {
    readNewest: () => read,
    read: () => read,
    append: () => Effect.succeed(0),
  };
  const program = Effect.gen(function* () {
    const context = yield* Effect.context<never>();
    const nowMs = () => Effect.runSyncWith(context)(steadyMs);
    const keys = new KeyFreshness({
      maxAgeMs: MAX_AGE_MS,
      steadyMs: nowMs,
      wallMs: nowMs,
      maxGapMs: MAX_AGE_MS,
      onGapEnded: () => {},
      onClockJump: () => {},
    });
    const config = new ConfigView({
      key: "config",
      decode: () => Left("none"),
      onAdopted: () => {},
      onMalformed: () => {},
    });
    const state = { needsProof: true };
    const record: RecordEvent = (event, fields) => {
      const { message } = fields as { readonly message: string };
      logLines.push(`${event} ${message}`);
    };
    yield* Effect.forkScoped(proveKeys({ log, config, keys, state, record }));
    yield* advance(OUTAGE_MS);
    isRefusing = false;
    yield* advance(OUTAGE_MS);
    return {
      reads,
      logLines,
      isFresh: keys.isFresh(),
      needsProof: state.needsProof,
    };
  });
  return Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
}

function advance(totalMs: number): Effect.Effect<void> {
  return Effect.gen(function* () {
    for (let passedMs = 0; passedMs < totalMs; passedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
    }
  });
}
