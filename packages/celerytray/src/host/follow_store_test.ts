import { expect } from "earl";
import { Clock, Effect } from "effect";
import { TestClock } from "effect/testing";
import { it } from "node:test";
import { readSteadyMs } from "../clock/index.ts";
import { type Coordinator, maxRelayedAgeMs } from "../coordination/index.ts";
import type { RecordEvent } from "../journal/index.ts";
import { createPosition, type KeyedLog } from "../keyed_log/index.ts";
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
  await followList(function* ({ reads, confirm }) {
    for (let round = 0; round < 20; round++) {
      yield* TestClock.adjust(RELAY_INTERVAL_MS);
      confirm();
    }
    expect(reads).toEqual([]);
    yield* TestClock.adjust(maxRelayedAgeMs("direct") + RELAY_CHECK_MS);
    // One read returns at once, and the next one waits.
    expect(reads.length).toEqual(2);
    expect(reads[0]! <= MAX_LIST_AGE_MS).toEqual(true);
  });
});

// Guards against a process that knows from the configuration that the store came
// back from an older copy, and goes by a list that was confirmed before that.
it("reads the list itself once the configuration is of a later era", async () => {
  await followList(function* ({ reads, confirm, returnConfig }) {
    yield* TestClock.adjust(RELAY_INTERVAL_MS);
    confirm();
    returnConfig();
    yield* TestClock.adjust(RELAY_CHECK_MS);
    expect(reads.length > 0).toEqual(true);
  });
});

interface FollowedList {
  /** Ages of the list when it was read from the store. */
  readonly reads: readonly number[];
  /** Confirms the list, as another process does. */
  readonly confirm: () => void;
  /** Has the configuration read in a later era. */
  readonly returnConfig: () => void;
}

/** Follows both topics of a store without records while a program runs. */
function followList(
  run: (followed: FollowedList) => Generator<Effect.Effect<void>, void>,
): Promise<void> {
  const reads: number[] = [];
  let provenAtMs = 0;
  let configOffset = 1;
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
      keys: createKeys(nowMs),
      configApplyMs: 2_000,
      contacts: {
        config: new StoreContact({ topic: "config", record }),
        instances: new StoreContact({ topic: "instances", record }),
      },
      configOffset: () => configOffset,
      instancesOffset: () => 1,
      listAgeMs: () => nowMs() - provenAtMs,
      applyInstances: () => {},
      random: () => 0,
      nowMs,
      record,
    });
    yield* run({
      reads,
      confirm: () => provenAtMs = nowMs(),
      returnConfig: () => configOffset = createPosition({ era: 1, offset: 1 }),
    });
  });
  return Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
}

/** Times in which changes must be in force, at the sizes that have relays. */
const CONFIG_CASES = [
  { statusPath: "direct", configApplyMs: 2_000 },
  { statusPath: "relayed", configApplyMs: 3_000 },
  { statusPath: "relayed", configApplyMs: 4_000 },
] as const;
/** Time that a slow store takes to answer. */
const SLOW_READ_MS = 300;

// Guards against a request that is handled by an outdated configuration after
// the leader was lost: the store was asked too late for the change to be in
// force in time.
it("has a change in force in time that came just after the leader was lost", async () => {
  for (const options of CONFIG_CASES) {
    for (const random of [0, 0.5, 0.999]) {
      const tookMs = await measureAdoption({ ...options, random });
      expect(tookMs <= options.configApplyMs).toEqual(true);
    }
  }
});

/** Time until a process knows a change after the last message of its leader. */
function measureAdoption(options: {
  readonly statusPath: "direct" | "relayed";
  readonly configApplyMs: number;
  readonly random: number;
}): Promise<number> {
  const { statusPath, configApplyMs, random } = options;
  const program = Effect.gen(function* () {
    const clock = yield* Clock.Clock;
    const nowMs = () => readSteadyMs(clock);
    const record: RecordEvent = () => {};
    const keys = createKeys(nowMs);
    let endOffset = 1;
    let configOffset = 0;
    let adoptedAtMs: number | undefined;
    const readPage = () => ({
      records: endOffset > Math.max(1, configOffset)
        ? [{ key: "config", offset: endOffset - 1 }]
        : [],
      nextOffset: endOffset,
    });
    const log: KeyedLog = {
      readNewest: () => Effect.sync(readPage),
      read: (topic) =>
        topic === "config"
          ? Effect.map(Effect.sleep(SLOW_READ_MS), readPage)
          : Effect.never,
      append: () => Effect.succeed(0),
    };
    yield* followStore({
      log,
      coordinator: {
        isLeading: false,
        statusPath,
        countProcesses: () => 7,
      } as Coordinator,
      applyConfig: ({ nextOffset, freshAtMs }) => {
        if (nextOffset > 1) adoptedAtMs ??= nowMs();
        configOffset = Math.max(configOffset, nextOffset);
        keys.noteProof(freshAtMs);
      },
      keys,
      configApplyMs,
      contacts: {
        config: new StoreContact({ topic: "config", record }),
        instances: new StoreContact({ topic: "instances", record }),
      },
      configOffset: () => configOffset,
      instancesOffset: () => 1,
      listAgeMs: () => 0,
      applyInstances: () => {},
      random: () => random,
      nowMs,
      record,
    });
    // The leader relays for a while, and is then lost.
    for (let round = 0; round < 20; round++) {
      yield* TestClock.adjust(RELAY_CHECK_MS);
      keys.noteProof(nowMs());
    }
    const changedAtMs = nowMs();
    endOffset = 2;
    while (adoptedAtMs === undefined && nowMs() - changedAtMs < 10_000) {
      yield* TestClock.adjust(10);
    }
    return (adoptedAtMs ?? Number.POSITIVE_INFINITY) - changedAtMs;
  });
  return Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
}

function createKeys(nowMs: () => number): KeyFreshness {
  return new KeyFreshness({
    maxAgeMs: 5_000,
    maxGapMs: 5_000,
    onGapEnded: () => {},
    steadyMs: nowMs,
    wallMs: nowMs,
    onClockJump: () => {},
  });
}
