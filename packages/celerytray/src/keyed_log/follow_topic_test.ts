import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { it } from "node:test";
import { followTopic } from "./follow_topic.ts";
import { type KeyedLog, StoreUnavailable } from "./keyed_log.ts";

const WAIT_MS = 2_000;

it("reads nothing while the relay is recent, and at once when it is not", async () => {
  const readWaitsMs: number[] = [];
  let isRecent = false;
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
      relay: { isRecent: () => isRecent, nextOffset: () => 3 },
    }));
    yield* TestClock.adjust(WAIT_MS);
    isRecent = true;
    yield* TestClock.adjust(3 * WAIT_MS);
    expect(readWaitsMs).toEqual([WAIT_MS, WAIT_MS]);
    isRecent = false;
    yield* TestClock.adjust(100);
    expect(readWaitsMs.slice(2)).toEqual([0, WAIT_MS]);
  });
  await Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
  // A read that waited its full time shows that no record came meanwhile.
  expect(freshAtMs[1]! - freshAtMs[0]!).toEqual(WAIT_MS);
});

it("pauses for the given time after a failed read", async () => {
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

/** Creates an empty log whose reads wait for the time asked for. */
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
