import { MemberTable } from "celerytray";
import { expect } from "earl";
import { Clock, Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { VirtualEntries } from "../config/virtual_entries.ts";

const COUNT = 9;
const ISOLATION_BOUND_MS = 8_000;

function run(
  test: (group: VirtualEntries) => Effect.Effect<void, unknown>,
  options: { readonly isolationTimeoutMs?: number } = {},
): Promise<void> {
  const group = new VirtualEntries({ count: COUNT, seed: 5, ...options });
  const all = Effect.gen(function* () {
    yield* group.startAll();
    yield* TestClock.adjust(20_000);
    yield* test(group);
    yield* group.stopAll();
  });
  return Effect.runPromise(all.pipe(Effect.provide(TestClock.layer())));
}

function liveCounts(group: VirtualEntries): number[] {
  return group.ids.map((id) =>
    group.entries.get(id)!.membership.listLiveIds().length
  );
}

function countIsolated(group: VirtualEntries): Effect.Effect<string[]> {
  return Effect.map(
    Clock.currentTimeMillis,
    (nowMs) =>
      group.ids.filter((id) =>
        group.entries.get(id)!.membership.findIsolationReason(nowMs) !==
          undefined
      ),
  );
}

/** Cuts an instance from the log and, both ways, from some others. */
function cutOff(
  group: VirtualEntries,
  options: { readonly id: string; readonly peerCount: number },
): void {
  const { id, peerCount } = options;
  group.entries.get(id)!.logFaults.isOut = true;
  const others = group.ids.filter((other) => other !== id);
  for (const other of others.slice(0, peerCount)) {
    group.cutLinks.add(`${id}>${other}`);
    group.cutLinks.add(`${other}>${id}`);
  }
}

function setLogOut(group: VirtualEntries, isOut: boolean): void {
  for (const { logFaults } of group.entries.values()) logFaults.isOut = isOut;
}

const ALL_LIVE = Array.from({ length: COUNT }, () => COUNT);

describe("membership between entry instances", () => {
  it("suspects nobody while a connection opens in one direction only", () =>
    run((group) =>
      Effect.gen(function* () {
        group.cutLinks.add("entry-1>entry-2");
        for (let round = 0; round < 30; round++) {
          yield* TestClock.adjust(1_000);
          expect(liveCounts(group)).toEqual(ALL_LIVE);
        }
      })
    ));

  it("suspects nobody that others still reach", () =>
    run((group) =>
      Effect.gen(function* () {
        group.cutLinks.add("entry-1>entry-2");
        group.cutLinks.add("entry-2>entry-1");
        for (let round = 0; round < 60; round++) {
          yield* TestClock.adjust(500);
          for (const { membership } of group.entries.values()) {
            const states = membership.table.members.map(({ state }) => state);
            expect(new Set(states)).toEqual(new Set(["alive" as const]));
          }
        }
      })
    ));

  it("drops a paused instance, and takes it back when it goes on", () =>
    run((group) =>
      Effect.gen(function* () {
        group.get(4).isPaused = true;
        yield* TestClock.adjust(25_000);
        const others = group.ids.filter((id) => id !== "entry-4");
        for (const id of others) {
          const live = group.entries.get(id)!.membership.listLiveIds();
          expect(live).toEqual(others);
        }
        group.get(4).isPaused = false;
        yield* TestClock.adjust(25_000);
        expect(liveCounts(group)).toEqual(ALL_LIVE);
      })
    ));

  it("ends no suspicion that ran while this instance itself was paused", () => {
    const table = new MemberTable({
      self: { instanceId: "self", adminAddress: "127.0.0.1:1" },
      suspicionMs: 5_000,
      forgetMs: 60_000,
      intervalMs: 1_000,
      startedAtMs: 0,
    });
    const other = { instanceId: "other", adminAddress: "127.0.0.1:2" };
    table.noteListed([other], 0);
    table.tick(0);
    table.noteUnreachable("other", 500);
    table.tick(30_000);
    expect(table.members[0]!.state).toEqual("suspect");
    for (let atMs = 31_000; atMs <= 36_000; atMs += 1_000) table.tick(atMs);
    expect(table.members[0]!.state).toEqual("gone");
  });

  it("drops an instance that leaves at once", () =>
    run((group) =>
      Effect.gen(function* () {
        yield* Effect.forkDetach(group.get(3).membership.leave());
        yield* TestClock.adjust(5_000);
        const others = group.ids.filter((id) => id !== "entry-3");
        for (const id of others) {
          const live = group.entries.get(id)!.membership.listLiveIds();
          expect(live).toEqual(others);
        }
      })
    ));
});

describe("isolation of an entry instance", () => {
  for (const peerCount of [4, 5, 8]) {
    it(`refuses when the log and ${peerCount} of 8 peers are lost`, () =>
      run((group) =>
        Effect.gen(function* () {
          cutOff(group, { id: "entry-8", peerCount });
          yield* TestClock.adjust(ISOLATION_BOUND_MS);
          expect(yield* countIsolated(group)).toEqual(["entry-8"]);
          group.cutLinks.clear();
          setLogOut(group, false);
          yield* TestClock.adjust(5_000);
          expect(yield* countIsolated(group)).toEqual([]);
        })
      ));
  }

  it("goes on when the log and 3 of 8 peers are lost", () =>
    run((group) =>
      Effect.gen(function* () {
        cutOff(group, { id: "entry-8", peerCount: 3 });
        for (let second = 0; second < 60; second++) {
          yield* TestClock.adjust(1_000);
          expect(yield* countIsolated(group)).toEqual([]);
        }
      })
    ));

  it("goes on in a log outage that all see", () =>
    run((group) =>
      Effect.gen(function* () {
        setLogOut(group, true);
        for (let second = 0; second < 60; second++) {
          yield* TestClock.adjust(1_000);
          expect(yield* countIsolated(group)).toEqual([]);
        }
      })
    ));

  it("goes on when a setting says so", () =>
    run((group) =>
      Effect.gen(function* () {
        cutOff(group, { id: "entry-8", peerCount: 8 });
        yield* TestClock.adjust(60_000);
        expect(yield* countIsolated(group)).toEqual([]);
      }), { isolationTimeoutMs: 0 }));
});
