import { expect } from "earl";
import { Clock, Effect } from "effect";
import { TestClock } from "effect/testing";
import { it } from "node:test";
import { readSteadyMs } from "../clock/index.ts";
import { type Coordinator, maxRelayedAgeMs } from "../coordination/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import type { KeyedLog } from "../keyed_log/index.ts";
import { followStore, retryDelayMs } from "./follow_store.ts";
import { KeyFreshness } from "./key_freshness.ts";
import { StoreContact } from "./store_contact.ts";

const RELAY_INTERVAL_MS = 500;
const RELAY_CHECK_MS = 100;
/** Shortest time for which a leaving instance keeps serving. */
const MAX_LIST_AGE_MS = 2_000;

/** Highest rate of reads of one topic while the store refuses all of them. */
const MAX_READS_PER_SECOND = 80;
const MAX_LEADER_RETRY_DELAY_MS = 250;

it("bounds the total rate of reads while the store refuses them", () => {
  for (const processCount of [1, 7, 83, 300]) {
    const followers = processCount - 1;
    const readsPerSecond = followers * 1_000 /
      retryDelayMs({ isLeading: false, processCount });
    expect(readsPerSecond <= MAX_READS_PER_SECOND).toEqual(true);
  }
});

it("lets the leader notice within 250 ms that the store is back", () => {
  for (const processCount of [1, 83]) {
    expect(
      retryDelayMs({ isLeading: true, processCount }) <=
        MAX_LEADER_RETRY_DELAY_MS,
    )
      .toEqual(true);
  }
});

it("reads the instance list itself only once relayed data is too old", async () => {
  const reads: number[] = [];
  let provenAtMs = 0;
  const program = Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => readSteadyMs(clock);
    const page = { records: [], nextOffset: 1 };
    const log: KeyedLog = {
      readNewest: () => Effect.succeed(page),
      read: (topic, { waitMs }) =>
        Effect.suspend(() => {
          if (topic === "instances") reads.push(nowMs() - provenAtMs);
          return Effect.as(Effect.sleep(waitMs), page);
        }),
      append: () => Effect.succeed(0),
    };
    const record: RecordEvent = () => {};
    const coordinator = {
      isLeading: false,
      statusPath: "direct",
      countProcesses: () => 7,
    } as Coordinator;
    yield* followStore({
      log,
      coordinator,
      applyConfig: () => {},
      keys: new KeyFreshness({
        maxAgeMs: 5_000,
        steadyMs: nowMs,
        wallMs: nowMs,
        onClockJump: () => {},
      }),
      contacts: {
        config: new StoreContact({ topic: "config", record }),
        instances: new StoreContact({ topic: "instances", record }),
      },
      configOffset: () => 1,
      instancesOffset: () => 1,
      listAgeMs: () => nowMs() - provenAtMs,
      applyInstances: () => {},
      random: () => 0,
      nowMs,
      record,
    });
    for (let round = 0; round < 20; round++) {
      yield* TestClock.adjust(RELAY_INTERVAL_MS);
      provenAtMs = nowMs();
    }
    expect(reads).toEqual([]);
    yield* TestClock.adjust(maxRelayedAgeMs("direct") + RELAY_CHECK_MS);
    // One read returns at once, and the next one waits.
    expect(reads.length).toEqual(2);
    expect(reads[0]! <= MAX_LIST_AGE_MS).toEqual(true);
  });
  await Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
});
