import { Effect } from "effect";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { Reach } from "./find_reaches.ts";
import { LivenessTracker } from "./liveness_tracker.ts";
import { LossCheck } from "./loss_check.ts";

const ID = "i-1";

// Guards against streams that end at the head of a replica because one process
// did not hear one of its members, which this one does hear.
describe("LossCheck, with a member silent for 3 s that answers again", () => {
  it("takes it as reached if this process reaches it, whatever others say", async () => {
    expect(await judge("answered", ["unanswered"])).toEqual("alive or silent");
  });

  it("takes it as reached if another one reaches it", async () => {
    expect(await judge("unanswered", ["answered"])).toEqual("alive or silent");
  });
});

async function judge(own: Reach, others: readonly Reach[]): Promise<string> {
  const liveness = new LivenessTracker();
  for (let nowMs = 0; nowMs <= 3_000; nowMs += 200) {
    liveness.noteProbeFailed(ID, { reason: "unanswered", nowMs });
  }
  const check = new LossCheck({
    state: {
      liveness,
      findAddress: () => "127.0.0.1:1",
    } as never,
    findReaches: () => Effect.succeed({ [ID]: own }),
    askOthers: () => Effect.succeed(others.map((reach) => ({ [ID]: reach }))),
    record: () => {},
  });
  // The verdict is noted at the time of the clock, within its greatest age.
  for (const effect of check.check(3_000)) await Effect.runPromise(effect);
  const { kind } = liveness.livenessOf(ID);
  return kind === "lost" || kind === "ended" ? kind : "alive or silent";
}
