import { type FakeFrontFault, LABEL_OPTIONS } from "@celerytray/fakes";
import { expect } from "earl";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { checks } from "./checks.ts";
import type { FaultAction } from "./fault_action.ts";
import type { PlannedFault } from "./planned_fault.ts";
import { runSoak } from "./run_soak.ts";

const PROGRAM = fileURLToPath(
  new URL(
    "platform/fake_front_main.js",
    import.meta.resolve("@celerytray/fakes"),
  ),
);

const HOST_PROGRAM = fileURLToPath(
  new URL("host_main.js", import.meta.resolve("@celerytray/cli")),
);
const CUT_SILENT_STREAMS = new URL("cut_silent_streams.js", import.meta.url);

/** A front fault, the check that must detect it, and the actions it needs. */
interface Case {
  readonly check: string;
  readonly fault: FakeFrontFault;
  readonly actions: readonly FaultAction[];
}

const BURST: FaultAction = { kind: "burst" };
const PAUSE: FaultAction = { kind: "pause", process: "front-0" };
const STOP: FaultAction = { kind: "terminate", process: "front-0" };
const WITHDRAW: FaultAction = { kind: "withdraw", key: "key-1" };
const LEAVE: FaultAction = { kind: "leave", instance: "plain-0" };
const LATE_RETURN: FaultAction = {
  kind: "late-return",
  ageMs: 1_000,
  instance: "plain-0",
  leaveBeforeMs: 100,
  isUnlisted: false,
  rewriteAfterMs: 500,
  lateProcess: "front-1",
  lateMs: 1_000,
  deletesRecords: true,
  idleRoutes: 0,
};
const SILENCE_MS = 1_900;
const SILENCE: FaultAction = { kind: "silent-instance", instance: "plain-2" };
const REPLICA = ["model-0", "model-1"];
const SILENT_REPLICA: readonly PlannedFault[] = [
  {
    atMs: 0,
    durationMs: 9_000,
    action: { kind: "slow-streams", pauseMs: 100 },
  },
  {
    atMs: 0,
    durationMs: 9_000,
    action: { kind: "one-replica", instances: REPLICA },
  },
  {
    atMs: 5_000,
    durationMs: SILENCE_MS,
    action: { kind: "silent-instance", instance: "model-1" },
  },
];
const EVACUATE: FaultAction = { kind: "evacuate", zone: "zone-b" };
const COOL: FaultAction = { kind: "cool", instance: "plain-1" };

const CASES: readonly Case[] = [
  { check: "own-answer", fault: "mixes-answers", actions: [] },
  { check: "runs-once", fault: "repeats-requests", actions: [] },
  { check: "true-refusal", fault: "refuses-what-ran", actions: [] },
  { check: "withdrawn-key", fault: "keeps-keys", actions: [WITHDRAW] },
  { check: "leaving-instance", fault: "keeps-instances", actions: [LEAVE] },
  {
    check: "drained-instance",
    fault: "keeps-instances",
    actions: [LATE_RETURN],
  },
  { check: "no-loss", fault: "stops-at-once", actions: [BURST, STOP] },
  { check: "restored", fault: "does-not-recover", actions: [PAUSE] },
  { check: "stays-up", fault: "ends-unasked", actions: [PAUSE] },
  { check: "bounded-memory", fault: "grows", actions: [BURST] },
  {
    check: "evacuated-zone",
    fault: "ignores-evacuations",
    actions: [EVACUATE],
  },
  {
    check: "cold-bound",
    fault: "floods-cold-instances",
    actions: [BURST, COOL],
  },
];
/** Tested on histories, as this front has no models. */
const HISTORY_CHECKS = [
  "limit-bound",
  "poison-bound",
  "order",
  "sound-stream",
  "config-in-time",
  "config-forward",
  "joined-answer",
  "cut-links",
];
/** Longer than all time bounds except that of withdrawn keys. */
const ACTION_DURATION_MS = 8_000;
/**
 * Below the shortest bound, 3 s for leaving instances: after a longer pause a
 * process continues what it was sending, and that arrives too late.
 */
const PAUSE_DURATION_MS = 2_500;

describe("each check of the soak", { concurrency: 3 }, () => {
  it("passes for a fake front without a fault, under all actions", async () => {
    const silence = { atMs: 0, durationMs: SILENCE_MS, action: SILENCE };
    const faults = [silence, ...CASES.flatMap(listFaults)];
    const { violations } = await run("none", faults);
    expect(violations.slice(0, 5)).toEqual([]);
  });

  for (const testCase of CASES) {
    it(`${testCase.check} detects a front that ${testCase.fault}`, async () => {
      const { violations } = await run(testCase.fault, listFaults(testCase));
      expect(violations.map(({ check }) => check)).toInclude(testCase.check);
    });
  }

  // The fake front has no models, so the program itself is made faulty.
  for (const cutsStreams of [false, true]) {
    const does = cutsStreams ? "detects" : "passes without";
    it(`sound-stream ${does} a cut of streams that are silent`, async () => {
      const options = cutsStreams
        ? `${LABEL_OPTIONS} --import ${CUT_SILENT_STREAMS.href}`
        : LABEL_OPTIONS;
      const { violations } = await runSoak({
        plan: { seed: 0, series: [SILENT_REPLICA] },
        program: { path: HOST_PROGRAM, environment: { NODE_OPTIONS: options } },
        checks,
        kinds: ["stream"],
      });
      const failed = violations.some(({ check }) => check === "sound-stream");
      expect(failed).toEqual(cutsStreams);
    });
  }

  it("has a test case", () => {
    expect(new Set([...CASES.map(({ check }) => check), ...HISTORY_CHECKS]))
      .toEqual(new Set(checks.map(({ name }) => name)));
  });
});

function listFaults({ actions }: Case): readonly PlannedFault[] {
  return actions.map((action, index) => ({
    atMs: index * 500,
    durationMs: action.kind === "pause"
      ? PAUSE_DURATION_MS
      : ACTION_DURATION_MS,
    action,
  }));
}

function run(fault: FakeFrontFault, faults: readonly PlannedFault[]) {
  return runSoak({
    plan: { seed: 0, series: [faults] },
    program: { path: PROGRAM, environment: { FAKE_FRONT_FAULT: fault } },
    checks,
    kinds: ["once", "safe"],
  });
}
