import { expect } from "earl";
import { Clock, Effect } from "effect";
import { TestClock } from "effect/testing";
import { it } from "node:test";
import { readSteadyMs } from "../clock/index.ts";
import { type Coordinator, maxRelayedAgeMs } from "../coordination/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import type { KeyedLog } from "../keyed_log/index.ts";
import { followStore, retryPauseMs } from "./follow_store.ts";
import { KeyFreshness } from "./key_freshness.ts";
import { StoreContact } from "./store_contact.ts";

const TOLD_EVERY_MS = 500;
const RELAY_CHECK_MS = 100;
/** Shortest time for which an instance that leaves works on. */
const MAX_LIST_AGE_MS = 2_000;

/** Most reads a second of one topic while the store refuses all of them. */
const MAX_READS_PER_SECOND = 80;
const MAX_LEAD_PAUSE_MS = 250;

it("bounds the reads of all processes while the store refuses them", () => {
  for (const nodes of [1, 7, 83, 300]) {
    const followers = nodes - 1;
    const readsPerSecond = followers * 1_000 /
      retryPauseMs({ isLeading: false, nodes });
    expect(readsPerSecond <= MAX_READS_PER_SECOND).toEqual(true);
  }
});

it("lets the lead notice soon that the store is back", () => {
  for (const nodes of [1, 83]) {
    expect(retryPauseMs({ isLeading: true, nodes }) <= MAX_LEAD_PAUSE_MS)
      .toEqual(true);
  }
});

it("reads the list itself once what it is told is old, and not before", async () => {
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
        onDoubt: () => {},
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
    for (let told = 0; told < 20; told++) {
      yield* TestClock.adjust(TOLD_EVERY_MS);
      provenAtMs = nowMs();
    }
    expect(reads).toEqual([]);
    yield* TestClock.adjust(maxRelayedAgeMs("direct") + RELAY_CHECK_MS);
    // One read at once, and the next, which waits.
    expect(reads.length).toEqual(2);
    expect(reads[0]! <= MAX_LIST_AGE_MS).toEqual(true);
  });
  await Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
});
