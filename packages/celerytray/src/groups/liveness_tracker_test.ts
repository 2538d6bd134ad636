import { expect } from "earl";
import { describe, it } from "node:test";
import type { SilenceReason } from "./instance_orders.ts";
import type { LossVerdict } from "./find_reaches.ts";
import { LivenessTracker } from "./liveness_tracker.ts";

const PROBE_TIMEOUT_MS = 350;
const STEP_MS = 10;
const ID = "i-1";

// Guards against a sound instance that counts as lost because it, or the process
// that probes it, stands still for a second or two.
describe("LivenessTracker", () => {
  it("counts an instance as silent soon, and as lost only after 2.5 s", () => {
    const kinds = probe({ reason: "unanswered", untilMs: 4_000 });
    expect(kinds.get("silent")! <= 500).toEqual(true);
    expect(kinds.get("lost")! >= 2_500).toEqual(true);
    expect(kinds.get("lost")! <= 3_000).toEqual(true);
  });

  it("counts one that accepts no connection as lost after 2 s", () => {
    const kinds = probe({ reason: "unreachable", untilMs: 4_000 });
    expect(kinds.get("lost")! >= 2_000).toEqual(true);
    expect(kinds.get("lost")! <= 2_100).toEqual(true);
  });

  // Guards against an order that interrupts what a member works on that only
  // accepts no connection.
  it("lets one that accepts no connection work until it was silent for 2.8 s", () => {
    for (const untilMs of [2_000, 2_700]) {
      const tracker = new LivenessTracker();
      probe({ tracker, reason: "unreachable", untilMs });
      expect(tracker.livenessOf(ID)).toEqual({ kind: "lost", mayWork: true });
    }
    const tracker = new LivenessTracker();
    probe({ tracker, reason: "unreachable", untilMs: 3_000 });
    expect(tracker.livenessOf(ID)).toEqual({ kind: "lost" });
  });

  // Guards against a new leader that waits anew for a member that has died.
  it("counts a silence from where this process knew of it", () => {
    const tracker = new LivenessTracker();
    tracker.noteSuspected(ID, -1_500);
    const kinds = probe({ tracker, reason: "unreachable", untilMs: 4_000 });
    expect(kinds.get("lost")! <= 1_500).toEqual(true);
    expect(kinds.get("silent")! <= 500).toEqual(true);
  });

  it("counts one that refuses connections for a while as ended", () => {
    const tracker = new LivenessTracker();
    tracker.noteProbeFailed(ID, { reason: "refused", nowMs: 0 });
    expect(tracker.livenessOf(ID).kind).toEqual("alive");
    tracker.noteProbeFailed(ID, { reason: "refused", nowMs: 120 });
    tracker.noteVerdict(ID, "unreached", 130);
    expect(tracker.livenessOf(ID).kind).toEqual("ended");
  });

  it("counts none as lost or ended that another process reaches", () => {
    for (const reason of ["unanswered", "unreachable", "refused"] as const) {
      for (const verdict of ["reached", "unknown"] as const) {
        const kinds = probe({ reason, verdict, untilMs: 10_000 });
        expect([...kinds.keys()]).toEqual(["alive", "silent"]);
      }
    }
  });

  it("takes no old verdict for a new one", () => {
    const tracker = new LivenessTracker();
    for (const nowMs of [0, 120]) {
      tracker.noteProbeFailed(ID, { reason: "unreachable", nowMs });
    }
    tracker.noteVerdict(ID, "unreached", 200);
    for (const nowMs of [3_000, 3_200, 3_400]) {
      tracker.noteProbeFailed(ID, { reason: "unreachable", nowMs });
    }
    expect(tracker.livenessOf(ID).kind).toEqual("silent");
    tracker.noteVerdict(ID, "unreached", 3_500);
    expect(tracker.livenessOf(ID).kind).toEqual("lost");
  });

  it("starts anew at each answer", () => {
    const tracker = new LivenessTracker();
    for (let nowMs = 0; nowMs < 10_000; nowMs += 1_400) {
      probe({
        tracker,
        reason: "unanswered",
        fromMs: nowMs,
        untilMs: nowMs + 1_300,
      });
      expect(tracker.livenessOf(ID).kind).toEqual("silent");
      tracker.noteAlive(ID);
      expect(tracker.livenessOf(ID).kind).toEqual("alive");
    }
  });

  it("takes nothing from before a standstill of this process for a loss", () => {
    const tracker = new LivenessTracker();
    probe({ tracker, reason: "unreachable", untilMs: 2_500 });
    expect(tracker.livenessOf(ID).kind).toEqual("lost");
    tracker.update(2_500);
    const wokeAtMs = 5_000;
    tracker.update(wokeAtMs);
    expect(tracker.livenessOf(ID).kind).toEqual("silent");
    for (let probes = 0; probes < 5; probes++) {
      tracker.noteProbeFailed(ID, {
        reason: "unreachable",
        sentAtMs: 2_400,
        nowMs: wokeAtMs,
      });
    }
    tracker.noteVerdict(ID, "unreached", wokeAtMs, 2_400);
    expect(tracker.livenessOf(ID).kind).toEqual("silent");
    for (const sentAtMs of [5_000, 5_200, 5_400]) {
      const nowMs = sentAtMs + PROBE_TIMEOUT_MS;
      tracker.noteProbeFailed(ID, { reason: "unreachable", sentAtMs, nowMs });
    }
    tracker.noteVerdict(ID, "unreached", 5_750, 5_400);
    expect(tracker.livenessOf(ID).kind).toEqual("lost");
  });

  it("takes no probe that was under way in a stop of this process for many", () => {
    const tracker = new LivenessTracker();
    tracker.noteSuspected(ID);
    for (const nowMs of [0, 120, 240]) {
      tracker.takeDueProbes(nowMs, () => false);
    }
    for (let probes = 0; probes < 3; probes++) {
      tracker.noteProbeFailed(ID, { reason: "unanswered", nowMs: 5_000 });
    }
    expect(tracker.livenessOf(ID).kind).toEqual("silent");
  });
});

/** Probes an instance that never answers; time at which it is first of a kind. */
function probe(
  {
    tracker = new LivenessTracker(),
    reason,
    verdict = "unreached",
    fromMs = 0,
    untilMs,
  }: {
    readonly tracker?: LivenessTracker;
    readonly reason: SilenceReason;
    /** What others say each time that they are asked. */
    readonly verdict?: LossVerdict;
    readonly fromMs?: number;
    readonly untilMs: number;
  },
): ReadonlyMap<string, number> {
  const kinds = new Map<string, number>();
  const failsAtMs: number[] = [];
  tracker.noteSuspected(ID);
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += STEP_MS) {
    if (tracker.takeDueProbes(nowMs, () => false).length > 0) {
      failsAtMs.push(nowMs + PROBE_TIMEOUT_MS);
    }
    while (failsAtMs[0] !== undefined && failsAtMs[0] <= nowMs) {
      failsAtMs.shift();
      tracker.noteProbeFailed(ID, { reason, nowMs });
    }
    for (const id of tracker.takeUnconfirmed(1)) {
      tracker.noteVerdict(id, verdict, nowMs);
    }
    const { kind } = tracker.livenessOf(ID);
    if (!kinds.has(kind)) kinds.set(kind, nowMs - fromMs);
  }
  return kinds;
}
