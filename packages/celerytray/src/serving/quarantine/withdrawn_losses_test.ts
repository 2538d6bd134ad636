import { expect } from "earl";
import { describe, it } from "node:test";
import { CrashQuarantine } from "./crash_quarantine.ts";
import type { LossProof } from "./loss_proof.ts";
import { QuarantineBoard } from "./quarantine_board.ts";

const PARTS = ["shared"];
const INTERVAL_MS = 400;
const SETTLE_MS = 750;
const STEP_MS = 100;
const END_MS = 20_000;
/** Time in which the board is to act on proof. */
const SOON_MS = 1_500;

// Guards against what all prompts share being refused for good, or held, because
// processes report instances as lost that live.
describe("losses that processes report", () => {
  it("neither quarantine nor hold a part once the instances are known to live", () => {
    const { process, quarantined } = play((_incarnation, sinceMs) =>
      sinceMs < INTERVAL_MS ? "open" : "alive"
    );
    expect(quarantined).toEqual([]);
    expect(process.assess(PARTS, END_MS).kind).toEqual("suspected");
    expect(process.quarantined).toEqual([]);
  });

  it("do not decide while nothing is proved", () => {
    const { process, quarantined } = play(() => "open");
    expect(quarantined).toEqual([]);
    expect(process.assess(PARTS, END_MS).kind).toEqual("held");
  });

  it("count where others beside them are withdrawn", () => {
    const { quarantined } = play((incarnation) =>
      incarnation === "i0" ? "alive" : "lost"
    );
    expect(quarantined).toEqual([["i1", "i2", "i3"]]);
  });

  it("decide as soon as the third of them is proved", () => {
    const { quarantined, quarantinedAtMs } = play((_incarnation, sinceMs) =>
      sinceMs < INTERVAL_MS ? "open" : "lost"
    );
    expect(quarantined.length).toEqual(1);
    expect(quarantinedAtMs <= 2 * INTERVAL_MS + SOON_MS).toEqual(true);
  });
});

/**
 * Plays a process that loses four instances at requests with a part, and its
 * leader; `prove` is given the time since the loss.
 */
function play(prove: (incarnation: string, sinceMs: number) => LossProof) {
  const process = new CrashQuarantine({ nodeId: "node-1", onEvent: () => {} });
  const quarantined: (readonly string[])[] = [];
  let quarantinedAtMs = Number.POSITIVE_INFINITY;
  let nowMs = 0;
  const board = new QuarantineBoard({
    term: 1,
    releaseOffset: () => -1,
    onQuarantined: ({ incarnations }) => {
      quarantined.push(incarnations);
      quarantinedAtMs = nowMs;
    },
  });
  const lostAtMs = new Map(
    [0, 1, 2, 3].map((index) => [`i${index}`, index * INTERVAL_MS]),
  );
  for (; nowMs <= END_MS; nowMs += STEP_MS) {
    for (const [incarnation, atMs] of lostAtMs) {
      if (atMs !== nowMs) continue;
      const attempt = { causes: PARTS, isStream: true, incarnation };
      process.noteLost({ ...attempt, instanceId: incarnation }, nowMs);
    }
    process.adopt(
      board.update(process.report(nowMs), {
        nowMs,
        settleMs: SETTLE_MS,
        proveLoss: (incarnation) =>
          prove(incarnation, nowMs - lostAtMs.get(incarnation)!),
      }),
    );
  }
  return { process, quarantined, quarantinedAtMs };
}
