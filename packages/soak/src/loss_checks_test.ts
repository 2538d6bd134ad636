import { expect } from "earl";
import { describe, it } from "node:test";
import { type InjectedFault, SoakHistory } from "./history.ts";
import { findCutStreams, findLosses } from "./loss_checks.ts";

const MEMBERS = ["model-0", "model-1"];
const START_MS = 1_000;
const END_MS = 2_500;

// Guards against a check that lets a stream be cut whose replica was sound, because
// something else was faulty at the time (issue 63).
describe("sound-stream", () => {
  it("detects a stream that was cut while its replica was sound", () => {
    expect(findCutStreams(createHistory())).toEqual([
      "stream call-0 at front-0 was cut 1500 ms after it was sent, in run 1, " +
      "at model-0 and model-1",
    ]);
  });

  it("passes whole streams, refusals, and those that reach their deadline", () => {
    expect(countCut(createHistory({ isWhole: true }))).toEqual(0);
    expect(countCut(createHistory({ status: 503 }))).toEqual(0);
    expect(countCut(createHistory({ endedAtMs: START_MS + 2_950 }))).toEqual(0);
    expect(countCut(createHistory({ endedAtMs: START_MS + 2_850 }))).toEqual(1);
  });

  it("excuses only faults of its replica, its process and its caller's link", () => {
    const excuses: readonly (readonly [InjectedFault["target"], string])[] = [
      [{ kind: "instance", name: "model-1" }, "reset"],
      [{ kind: "instance" }, "late"],
      [{ kind: "process", name: "front-0" }, "pause"],
      [{ kind: "callers", name: "front-0" }, "reset"],
    ];
    const others: typeof excuses = [
      [{ kind: "instance", name: "model-2" }, "reset"],
      [{ kind: "instance", name: "model-1" }, "delay"],
      [{ kind: "instance" }, "poison"],
      [{ kind: "instance" }, "one-replica"],
      [{ kind: "process", name: "front-0" }, "terminate"],
      [{ kind: "process", name: "front-1" }, "kill"],
      [{ kind: "store" }, "out"],
      [{ kind: "store-link", name: "front-0" }, "reset"],
    ];
    for (const [index, [target, fault]] of [...excuses, ...others].entries()) {
      const history = createHistory();
      history.injectedFaults.push({
        target,
        fault,
        fromMs: 1_500,
        toMs: 1_600,
      });
      expect(countCut(history)).toEqual(index < excuses.length ? 0 : 1);
    }
  });

  it("excuses an end of a member during the last run, and no other", () => {
    for (
      const [instanceId, atMs, count] of [
        ["model-1", 1_500, 0],
        ["model-1", 800, 1],
        ["model-2", 1_500, 1],
      ] as const
    ) {
      const history = createHistory();
      history.instanceEnds.push({ instanceId, atMs });
      expect(countCut(history)).toEqual(count);
    }
  });

  it("judges the replica of the last run", () => {
    const history = createHistory();
    history.instanceEnds.push({ instanceId: "model-0", atMs: 1_500 });
    addRun(history, { atMs: 1_700, members: ["model-2", "model-3"] });
    expect(countCut(history)).toEqual(1);
    history.instanceEnds.push({ instanceId: "model-3", atMs: 1_800 });
    expect(countCut(history)).toEqual(0);
  });

  it("excuses a stream that its replica broke off or its process was cut from", () => {
    const brokenOff = createHistory();
    brokenOff.joinedAnswers.push({
      atMs: 1_500,
      callId: "call-0",
      instanceId: "model-0",
      fault: "no-chunk-size",
    });
    expect(countCut(brokenOff)).toEqual(0);
    const cut = createHistory();
    cut.beginCut(["front-0"], "reset");
    Object.assign(cut.cuts[0]!, { fromMs: 900, toMs: 8_000 });
    expect(countCut(cut)).toEqual(0);
  });
});

// Guards against a model of full heads that excuses streams we end.
describe("no-loss", () => {
  it("excuses a stream that met its deadline as heads were full, and no other", () => {
    const lateMs = START_MS + 2_950;
    for (
      const [endedAtMs, status, isFull, count] of [
        [lateMs, 200, true, 0],
        [lateMs, 200, false, 1],
        [lateMs, 0, true, 1],
        [START_MS + 2_850, 200, true, 1],
      ] as const
    ) {
      const history = createHistory({ endedAtMs, status });
      const period = { name: "heads", fromMs: 0, toMs: END_MS };
      if (isFull) history.fullPeriods.push(period);
      expect(findLosses(history).length).toEqual(count);
    }
  });
});

function countCut(history: SoakHistory): number {
  return findCutStreams(history).length;
}

/** A stream that two members ran, and how it ended for its caller. */
function createHistory(
  { status = 200, isWhole = false, endedAtMs = END_MS }: {
    readonly status?: number;
    readonly isWhole?: boolean;
    readonly endedAtMs?: number;
  } = {},
): SoakHistory {
  const history = new SoakHistory();
  history.calls.push({
    process: "front-0",
    kind: "stream",
    callId: "call-0",
    key: "key",
    sentAtMs: START_MS,
    expected: "whole",
    endedAtMs,
    answer: { status, body: "", isWhole },
  });
  addRun(history, { atMs: START_MS, members: MEMBERS });
  return history;
}

function addRun(
  history: SoakHistory,
  { atMs, members }: {
    readonly atMs: number;
    readonly members: readonly string[];
  },
): void {
  history.arrivals.push({
    atMs,
    handledAtMs: atMs,
    callId: "call-0",
    instanceId: members[0]!,
    zone: "zone-a",
    hasRun: true,
    isMisdirected: false,
    members,
  });
}
