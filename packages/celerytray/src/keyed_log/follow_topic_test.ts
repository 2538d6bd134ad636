import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { it } from "node:test";
import { followTopic } from "./follow_topic.ts";
import {
  HistoryDropped,
  type KeyedLog,
  StoreUnavailable,
} from "./keyed_log.ts";

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

// Guards against a process that knows that records are gone and doesn't read the
// topic anew, as another process's confirmation of the earlier era is recent.
it("reads a topic anew whose records are gone, unless the relay has it", async () => {
  const cases = [
    { relayedAfterMs: 150, expectedReads: 0 },
    { relayedAfterMs: Number.POSITIVE_INFINITY, expectedReads: 1 },
  ];
  for (const { relayedAfterMs, expectedReads } of cases) {
    const { reads, isAllKnown } = await followDropped({
      relayedAfterMs,
      rereadDelayMs: 300,
    });
    expect(reads).toEqual(expectedReads);
    expect(isAllKnown).toEqual(true);
  }
});

// Guards against the delay after a failure where the store has answered, which
// a leader adds to what all processes wait for.
it("reads a topic anew at once without a relay", async () => {
  const { reads, isAllKnown } = await followDropped({ observedMs: 10 });
  expect(reads).toEqual(1);
  expect(isAllKnown).toEqual(true);
});

it("doesn't read a topic over and over whose records stay gone", async () => {
  const { reads } = await followDropped({ staysDropped: true });
  expect(reads <= 1 + OBSERVED_MS / RETRY_MS).toEqual(true);
});

const RETRY_MS = 250;
const OBSERVED_MS = 1_000;
const DROPPED_FROM = 1;
const RETURNED_TO = 100;

/**
 * Follows a topic whose records from a position on are gone; counts the full
 * reads after the first one.
 */
async function followDropped(options: {
  readonly relayedAfterMs?: number;
  readonly rereadDelayMs?: number;
  readonly observedMs?: number;
  readonly staysDropped?: boolean;
}) {
  const { relayedAfterMs, rereadDelayMs = 0, staysDropped = false } = options;
  const { observedMs = OBSERVED_MS } = options;
  let reads = 0;
  let isDropped = false;
  let isRelayed = false;
  let isRecent = false;
  let knownTo = 0;
  const log: KeyedLog = {
    readNewest: () =>
      Effect.sync(() => {
        if (isDropped) reads += 1;
        const nextOffset = isDropped ? RETURNED_TO : DROPPED_FROM;
        return { records: [], nextOffset };
      }),
    read: (_topic, { fromOffset, waitMs }) =>
      Effect.suspend(() =>
        isDropped && (staysDropped || fromOffset < RETURNED_TO)
          ? Effect.fail(new HistoryDropped({ message: "gone" }))
          : Effect.as(Effect.sleep(waitMs), {
            records: [],
            nextOffset: fromOffset,
          })
      ),
    append: () => Effect.succeed(0),
  };
  const relay = {
    isRecent: () => isRecent,
    nextOffset: () => isRelayed ? RETURNED_TO : 0,
  };
  const program = Effect.gen(function* () {
    yield* Effect.forkScoped(followTopic({
      log,
      topic: "instances",
      waitMs: () => 20,
      pauseMs: () => 0,
      onChange: ({ nextOffset }) => knownTo = nextOffset,
      onFailure: () => {},
      retryMs: () => RETRY_MS,
      rereadDelayMs: () => rereadDelayMs,
      ...(relayedAfterMs === undefined ? {} : { relay }),
    }));
    yield* TestClock.adjust(100);
    isDropped = true;
    yield* TestClock.adjust(20);
    isRecent = true;
    if (relayedAfterMs !== undefined && Number.isFinite(relayedAfterMs)) {
      yield* TestClock.adjust(relayedAfterMs);
      isRelayed = true;
    }
    yield* TestClock.adjust(observedMs);
  });
  await Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
  return {
    reads,
    isAllKnown: knownTo === RETURNED_TO || isRelayed,
  };
}

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
