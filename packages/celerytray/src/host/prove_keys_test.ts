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
const MAX_READS_A_SECOND = 5;

it("asks a store that refuses seldom, with a line for each failure", async () => {
  const { reads, lines, isFresh, needsProof } = await play();
  expect(reads.failed > 0).toEqual(true);
  expect(reads.failed <= MAX_READS_A_SECOND).toEqual(true);
  expect(lines).toEqual(
    Array.from({ length: reads.failed }, () => "keys.proof-failed busy"),
  );
  expect(reads.answered).toEqual(1);
  expect({ isFresh, needsProof }).toEqual({ isFresh: true, needsProof: false });
});

/** A store refuses for a time, then answers that nothing is new. */
function play() {
  const reads = { failed: 0, answered: 0 };
  const lines: string[] = [];
  let isOut = true;
  const read = Effect.suspend(
    (): Effect.Effect<KeyedPage, StoreUnavailable> => {
      if (isOut) {
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
      onDoubt: () => {},
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
      lines.push(`${event} ${message}`);
    };
    yield* Effect.forkScoped(proveKeys({ log, config, keys, state, record }));
    yield* pass(OUTAGE_MS);
    isOut = false;
    yield* pass(OUTAGE_MS);
    return {
      reads,
      lines,
      isFresh: keys.isFresh(),
      needsProof: state.needsProof,
    };
  });
  return Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
}

function pass(totalMs: number): Effect.Effect<void> {
  return Effect.gen(function* () {
    for (let passedMs = 0; passedMs < totalMs; passedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
    }
  });
}
