import { expect } from "earl";
import { describe, it } from "node:test";
import { PaceTracker } from "./pace_tracker.ts";

describe("PaceTracker", () => {
  it("finds an instance that is slow among those of its model", () => {
    const paces = new PaceTracker();
    notePauses(paces, { instanceId: "a", pauseMs: 40, untilMs: 1_000 });
    notePauses(paces, { instanceId: "b", pauseMs: 60, untilMs: 1_000 });
    expect(paces.listSlow(1_000)).toEqual([]);
    notePauses(paces, { instanceId: "b", pauseMs: 240, untilMs: 2_200 });
    notePauses(paces, { instanceId: "a", pauseMs: 40, untilMs: 2_200 });
    expect(paces.listSlow(2_200)).toEqual(["b"]);
  });

  it("compares instances of one model only", () => {
    const paces = new PaceTracker();
    notePauses(paces, { instanceId: "a", pauseMs: 20, untilMs: 1_000 });
    notePauses(paces, {
      instanceId: "b",
      model: "other",
      pauseMs: 200,
      untilMs: 1_000,
    });
    expect(paces.slowness("b", 1_000)).toEqual(1);
  });

  it("no longer lists an instance that has sent no events for 3 s", () => {
    const paces = new PaceTracker();
    notePauses(paces, { instanceId: "a", pauseMs: 40, untilMs: 1_000 });
    notePauses(paces, { instanceId: "b", pauseMs: 150, untilMs: 1_000 });
    notePauses(paces, { instanceId: "a", pauseMs: 40, untilMs: 3_800 });
    expect(paces.listSlow(3_800)).toEqual(["b"]);
    expect(paces.listSlow(4_100)).toEqual([]);
  });

  it("discards the average of an earlier replica epoch", () => {
    const paces = new PaceTracker();
    notePauses(paces, { instanceId: "a", pauseMs: 40, untilMs: 1_000 });
    notePauses(paces, { instanceId: "b", pauseMs: 150, untilMs: 1_000 });
    expect(paces.isSlow({ instanceId: "b", epoch: 1 }, 1_000)).toEqual(true);
    expect(paces.isSlow({ instanceId: "b", epoch: 2 }, 1_000)).toEqual(false);
  });

  it("does not count a single long pause", () => {
    const paces = new PaceTracker();
    notePauses(paces, { instanceId: "a", pauseMs: 40, untilMs: 1_000 });
    notePauses(paces, { instanceId: "b", pauseMs: 40, untilMs: 1_000 });
    notePauses(paces, { instanceId: "b", pauseMs: 250, untilMs: 250 });
    expect(paces.listSlow(1_000)).toEqual([]);
  });
});

interface Pauses {
  readonly instanceId: string;
  readonly model?: string;
  readonly pauseMs: number;
  readonly untilMs: number;
}

/** Records the pauses of the second before `untilMs`. */
function notePauses(
  paces: PaceTracker,
  { instanceId, model = "model", pauseMs, untilMs }: Pauses,
): void {
  const firstAtMs = Math.max(pauseMs, untilMs - 1_000);
  for (let nowMs = firstAtMs; nowMs <= untilMs; nowMs += pauseMs) {
    paces.notePause({ instanceId, epoch: 1, model, pauseMs, nowMs });
  }
}
