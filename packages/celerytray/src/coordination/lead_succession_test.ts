import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { steadyMs } from "../clock/index.ts";
import { awaitTurn, type LeadTurn } from "./lead_succession.ts";

const PROCESSES = 80;
const STEP_MS = 20;
/** Time by which a process must know that another took the lead. */
const MAX_NOTICE_MS = 1_100;

describe("awaitTurn", () => {
  it("ends soon after another process has taken the lead", async () => {
    const { turn, waitedMs, looks } = await play({ rank: 70, takenAtMs: 300 });
    expect(turn).toEqual({ rank: 70, isTaken: true });
    expect(waitedMs <= MAX_NOTICE_MS).toEqual(true);
    expect(looks).toEqual(1);
  });

  it("lets the first processes try one after the other", async () => {
    const first = await play({ rank: 0 });
    const second = await play({ rank: 1 });
    expect(first).toEqual({
      turn: { rank: 0, isTaken: false },
      waitedMs: 0,
      looks: 0,
    });
    expect(second.turn).toEqual({ rank: 1, isTaken: false });
    expect(second.waitedMs > first.waitedMs).toEqual(true);
    expect(second.looks).toEqual(0);
  });

  it("goes on waiting while nobody has taken the lead", async () => {
    const last = await play({ rank: 70 });
    const before = await play({ rank: 69 });
    expect(last.turn).toEqual({ rank: 70, isTaken: false });
    expect(last.waitedMs > before.waitedMs).toEqual(true);
  });
});

interface Played {
  readonly turn: LeadTurn;
  readonly waitedMs: number;
  readonly looks: number;
}

/** Lets a process of a rank wait for its turn, on virtual time. */
function play(
  options: { readonly rank: number; readonly takenAtMs?: number },
): Promise<Played> {
  const { rank, takenAtMs = Number.POSITIVE_INFINITY } = options;
  const others = Array.from({ length: PROCESSES }, (_, index) => ({
    nodeId: `node-${String(index).padStart(2, "0")}`,
    peerAddress: `${index}`,
  }));
  let looks = 0;
  const isTaken = Effect.map(steadyMs, (nowMs) => {
    looks += 1;
    return nowMs >= takenAtMs;
  });
  const program = Effect.gen(function* () {
    const begunAtMs = yield* steadyMs;
    let ended: { readonly turn: LeadTurn; readonly atMs: number } | undefined;
    yield* Effect.forkScoped(Effect.gen(function* () {
      const turn = yield* awaitTurn({
        nodeId: others[rank]!.nodeId,
        others,
        isTaken,
      });
      ended = { turn, atMs: yield* steadyMs };
    }));
    yield* Effect.yieldNow;
    while (ended === undefined) yield* TestClock.adjust(STEP_MS);
    return { turn: ended.turn, waitedMs: ended.atMs - begunAtMs, looks };
  });
  return Effect.runPromise(
    program.pipe(Effect.scoped, Effect.provide(TestClock.layer())),
  );
}
