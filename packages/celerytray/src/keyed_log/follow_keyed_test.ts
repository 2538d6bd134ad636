import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { it } from "node:test";
import { followTopic } from "./follow_keyed.ts";
import { type KeyedLog, StoreUnavailable } from "./keyed_log.ts";

const WAIT_MS = 2_000;

it("reads nothing while a relay is enough, and at once when it is not", async () => {
  const readWaitsMs: number[] = [];
  let isEnough = false;
  const freshAtMs: number[] = [];
  const program = Effect.gen(function* () {
    yield* Effect.forkScoped(followTopic({
      log: createLog(readWaitsMs),
      topic: "config",
      waitMs: () => WAIT_MS,
      pauseMs: () => 0,
      onChange: (change) => freshAtMs.push(change.freshAtMs),
      onFailure: (message) => expect(message).toEqual(""),
      retryMs: () => 0,
      relay: { isRecent: () => isEnough, nextOffset: () => 3 },
    }));
    yield* TestClock.adjust(WAIT_MS);
    isEnough = true;
    yield* TestClock.adjust(3 * WAIT_MS);
    expect(readWaitsMs).toEqual([WAIT_MS, WAIT_MS]);
    isEnough = false;
    yield* TestClock.adjust(100);
    expect(readWaitsMs.slice(2)).toEqual([0, WAIT_MS]);
  });
  await Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
  // A read that waited to its end tells that nothing came until then.
  expect(freshAtMs[1]! - freshAtMs[0]!).toEqual(WAIT_MS);
});

it("pauses after a read that failed as long as it is told", async () => {
  const retryMs = 500;
  const failures: string[] = [];
  const refuse = Effect.fail(new StoreUnavailable({ message: "busy" }));
  const log = {
    ...createLog([]),
    readNewest: () => refuse,
    read: () => refuse,
  };
  const program = Effect.gen(function* () {
    yield* Effect.forkScoped(followTopic({
      log,
      topic: "config",
      waitMs: () => WAIT_MS,
      pauseMs: () => 0,
      onChange: () => {},
      onFailure: (message) => failures.push(message),
      retryMs: () => retryMs,
    }));
    yield* TestClock.adjust(4 * retryMs - 1);
  });
  await Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
  expect(failures).toEqual(["busy", "busy", "busy", "busy"]);
});

/** A store without records whose reads wait as they are told. */
function createLog(readWaitsMs: number[]): KeyedLog {
  const page = { records: [], nextOffset: 0 };
  return {
    readNewest: () => Effect.succeed(page),
    read: (_topic, { fromOffset, waitMs }) =>
      Effect.suspend(() => {
        readWaitsMs.push(waitMs);
        return Effect.as(Effect.sleep(waitMs), {
          records: [],
          nextOffset: fromOffset,
        });
      }),
    append: () => Effect.succeed(0),
  };
}
