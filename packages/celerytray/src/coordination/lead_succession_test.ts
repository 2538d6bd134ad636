import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { steadyMs } from "../clock/index.ts";
import { awaitTurn, turnDelayMs } from "./lead_succession.ts";
import type { PeerNode } from "./peer_messages.ts";

const STEP_MS = 20;
/** Time by which a process must know that another took the lead. */
const MAX_NOTICE_MS = 50;

const node = (index: number, cores: number): PeerNode => ({
  nodeId: `node-${index}`,
  peerAddress: `${index}`,
  zone: "z",
  cores,
});

describe("turnDelayMs", () => {
  const relays = [node(1, 1.35), node(2, 1.35), node(3, 0.324)];
  const delayOf = (self: PeerNode, chance = 0) =>
    turnDelayMs({ self, relays, chance });

  it("lets relays try one after the other, the first at once", () => {
    const delaysMs = relays.map((relay) => delayOf(relay));
    expect(delaysMs[0]).toEqual(0);
    expect(delaysMs[0]! < delaysMs[1]! && delaysMs[1]! < delaysMs[2]!)
      .toEqual(true);
  });

  it("lets others try after them, the most able first", () => {
    const able = delayOf(node(8, 1.35), 1);
    const weak = delayOf(node(9, 0.324));
    expect(delayOf(relays[2]!) < delayOf(node(8, 1.35))).toEqual(true);
    expect(able < weak).toEqual(true);
  });

  it("keeps the wait of a process without any processor time bounded", () => {
    expect(delayOf(node(9, 0), 1) < 1_500).toEqual(true);
  });

  it("lets equally able processes try at different times", () => {
    expect(delayOf(node(9, 0.324), 0.1) < delayOf(node(8, 0.324), 0.9))
      .toEqual(true);
  });
});

describe("awaitTurn", () => {
  it("ends as another process takes the lead", async () => {
    const { isTaken, waitedMs } = await play({
      delayMs: 5_000,
      takenAtMs: 300,
    });
    expect(isTaken).toEqual(true);
    expect(waitedMs <= 300 + MAX_NOTICE_MS).toEqual(true);
  });

  it("goes on waiting while nobody has taken the lead", async () => {
    const { isTaken, waitedMs } = await play({ delayMs: 5_000 });
    expect(isTaken).toEqual(false);
    expect(waitedMs >= 5_000).toEqual(true);
  });

  it("looks seldom where there is nothing to wait for", async () => {
    const { waitedMs, looks } = await play({ delayMs: 1_000, wakeEveryMs: 0 });
    expect(waitedMs >= 1_000).toEqual(true);
    expect(looks <= 11).toEqual(true);
  });

  it("goes on waiting while other records are written", async () => {
    const { isTaken, waitedMs, looks } = await play({
      delayMs: 1_000,
      wakeEveryMs: 100,
    });
    expect(isTaken).toEqual(false);
    expect(waitedMs >= 1_000).toEqual(true);
    expect(looks <= 11).toEqual(true);
  });
});

interface Played {
  readonly isTaken: boolean;
  readonly waitedMs: number;
  readonly looks: number;
}

/** Lets a process wait for its turn, on virtual time. */
function play(
  { delayMs, takenAtMs = Number.POSITIVE_INFINITY, wakeEveryMs }: {
    readonly delayMs: number;
    readonly takenAtMs?: number;
    /** Time after which records end a look that tell of no lead. */
    readonly wakeEveryMs?: number;
  },
): Promise<Played> {
  let looks = 0;
  const awaitTaken = (waitMs: number) =>
    Effect.gen(function* () {
      looks += 1;
      const nowMs = yield* steadyMs;
      const lookMs = Math.min(waitMs, wakeEveryMs ?? waitMs);
      yield* Effect.sleep(Math.min(lookMs, Math.max(0, takenAtMs - nowMs)));
      return (yield* steadyMs) >= takenAtMs;
    });
  const program = Effect.gen(function* () {
    const begunAtMs = yield* steadyMs;
    let ended: { readonly isTaken: boolean; readonly atMs: number } | undefined;
    yield* Effect.forkScoped(Effect.gen(function* () {
      const isTaken = yield* awaitTurn({ delayMs, awaitTaken });
      ended = { isTaken, atMs: yield* steadyMs };
    }));
    yield* Effect.yieldNow;
    while (ended === undefined) yield* TestClock.adjust(STEP_MS);
    const { isTaken, atMs } = ended;
    return { isTaken, waitedMs: atMs - begunAtMs, looks };
  });
  return Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
}
