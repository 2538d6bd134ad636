import { MemberTable, type MemberTableOptions } from "celerytray";
import { expect } from "earl";
import { Clock, Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { VirtualEntries } from "../config/virtual_entries.ts";

const COUNT = 9;
const MAX_ISOLATION_DELAY_MS = 8_000;

function runGroup(
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

function countLivePeers(group: VirtualEntries): number[] {
  return group.ids.map((id) =>
    group.entries.get(id)!.membership.listLiveIds().length
  );
}

function listIsolatedIds(group: VirtualEntries): Effect.Effect<string[]> {
  return Effect.map(
    Clock.currentTimeMillis,
    (nowMs) =>
      group.ids.filter((id) =>
        group.entries.get(id)!.membership.findIsolationReason(nowMs) !==
          undefined
      ),
  );
}

/** Disconnects an instance from the log and, in both directions, from some peers. */
function disconnect(
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

function createTable(
  onChange: NonNullable<MemberTableOptions["onChange"]>,
): MemberTable {
  return new MemberTable({
    self: { instanceId: "self", adminAddress: "127.0.0.1:1" },
    suspicionMs: 5_000,
    forgetMs: 60_000,
    intervalMs: 1_000,
    startedAtMs: 0,
    onChange,
  });
}

const ALL_LIVE = Array.from({ length: COUNT }, () => COUNT);

describe("membership between entry instances", () => {
  it("does not suspect a peer while connections open in one direction only", () =>
    runGroup((group) =>
      Effect.gen(function* () {
        group.cutLinks.add("entry-1>entry-2");
        for (let round = 0; round < 30; round++) {
          yield* TestClock.adjust(1_000);
          expect(countLivePeers(group)).toEqual(ALL_LIVE);
        }
      })
    ));

  it("does not suspect a peer that others still reach", () =>
    runGroup((group) =>
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

  it("removes a paused instance, and adds it again when it resumes", () =>
    runGroup((group) =>
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
        expect(countLivePeers(group)).toEqual(ALL_LIVE);
      })
    ));

  it("does not count its own pause towards the suspicion timeout of another member", () => {
    const changes: string[] = [];
    const table = createTable((update) => changes.push(update.state));
    const other = { instanceId: "other", adminAddress: "127.0.0.1:2" };
    table.noteListed([other], 0);
    table.tick(0);
    table.noteUnreachable("other", 500);
    table.tick(30_000);
    expect(table.members[0]!.state).toEqual("suspect");
    for (let atMs = 31_000; atMs <= 36_000; atMs += 1_000) table.tick(atMs);
    expect(table.members[0]!.state).toEqual("gone");
    expect(changes).toEqual(["suspect", "gone"]);
  });

  it("removes a leaving instance within 5 s", () =>
    runGroup((group) =>
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
    it(`reports isolation when the log and ${peerCount} of 8 peers are unreachable, and recovers`, () =>
      runGroup((group) =>
        Effect.gen(function* () {
          disconnect(group, { id: "entry-8", peerCount });
          yield* TestClock.adjust(MAX_ISOLATION_DELAY_MS);
          expect(yield* listIsolatedIds(group)).toEqual(["entry-8"]);
          group.cutLinks.clear();
          setLogOut(group, false);
          yield* TestClock.adjust(5_000);
          expect(yield* listIsolatedIds(group)).toEqual([]);
        })
      ));
  }

  it("does not report isolation when the log and 3 of 8 peers are unreachable", () =>
    runGroup((group) =>
      Effect.gen(function* () {
        disconnect(group, { id: "entry-8", peerCount: 3 });
        for (let second = 0; second < 60; second++) {
          yield* TestClock.adjust(1_000);
          expect(yield* listIsolatedIds(group)).toEqual([]);
        }
      })
    ));

  it("does not report isolation during a log outage that affects all", () =>
    runGroup((group) =>
      Effect.gen(function* () {
        setLogOut(group, true);
        for (let second = 0; second < 60; second++) {
          yield* TestClock.adjust(1_000);
          expect(yield* listIsolatedIds(group)).toEqual([]);
        }
      })
    ));

  it("does not report isolation when the isolation timeout is 0", () =>
    runGroup((group) =>
      Effect.gen(function* () {
        disconnect(group, { id: "entry-8", peerCount: 8 });
        yield* TestClock.adjust(60_000);
        expect(yield* listIsolatedIds(group)).toEqual([]);
      }), { isolationTimeoutMs: 0 }));
});
