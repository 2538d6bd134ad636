import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { ColdRateLimiter, findTokenRate } from "./cold_allowance.ts";
import { ColdTracker } from "./cold_tracker.ts";
import { ProcessCount } from "./process_count.ts";

const SEED = 41;
const RUNS = 12;
const COLD = { startMs: 3_000, requestsPerSecond: 18 };
const BOUNDS = { overshoot: 1.5, slackRequests: 5 };
/** `cold_per_s` x `cold_overshoot` + `cold_slack`. */
const BOUND = 32;
const STEP_MS = 25;
const COUNT_STEP_MS = 500;
/** Time between the moments at which two halves hear another number. */
const VIEW_LAG_MS = 3_000;
const TARGET = { instanceId: "i-1", bornAtMs: 1, cold: COLD };

const world = fc.record({
  bornAtMs: fc.nat(),
  startAtMs: fc.nat(100_000),
  /** What the views of the number of processes differ by. */
  change: fc.constantFrom("none", "lead-lost", "growth" as const),
  changeAtMs: fc.integer({ min: -3_000, max: 3_000 }),
  /** Time from which there are requests; tokens add up until then. */
  demandAtMs: fc.integer({ min: 0, max: 2_000 }),
});

describe("ColdAllowance", () => {
  for (const processes of [1, 7, 62, 123, 390]) {
    it(`keeps the bound over ${processes} processes that share no counter`, () => {
      fc.assert(
        fc.property(world, (options) => {
          expect(countBusiest(playCold(processes, options)) <= BOUND)
            .toEqual(true);
        }),
        { seed: SEED, numRuns: RUNS },
      );
    });
  }

  it("uses its rate where requests are always there", () => {
    const times = playCold(62, {
      bornAtMs: 1,
      startAtMs: 0,
      change: "none",
      changeAtMs: 0,
      demandAtMs: 0,
    });
    const perSecond = times.length / (COLD.startMs / 1_000);
    expect(perSecond > 10 && perSecond < 17).toEqual(true);
  });

  it("lowers its rate where the settings leave less room above it", () => {
    const rates = [BOUNDS, { overshoot: 1, slackRequests: 0 }, {
      overshoot: 0,
      slackRequests: 0,
    }, { overshoot: 9, slackRequests: 9 }].map((bounds) =>
      findTokenRate(COLD, bounds).toFixed(1)
    );
    expect(rates).toEqual(["13.5", "6.3", "0.0", "13.5"]);
  });

  it("gives nothing while the number of processes isn't known", () => {
    const { allowance } = createProcess("p", () => undefined, 0);
    expect(allowance.maySend(TARGET, 1_000)).toEqual(false);
    expect(allowance.waitMs([TARGET], { ahead: 0, nowMs: 1_000 }))
      .toEqual(2_000);
    expect(allowance.maySend(TARGET, 3_000)).toEqual(true);
  });

  it("binds no service without bounds, and no warm instance", () => {
    const { allowance } = createProcess("p", () => undefined, 0);
    expect(allowance.maySend({ instanceId: "i-1" }, 10)).toEqual(true);
    expect(allowance.maySend({ ...TARGET, instanceId: "i-2" }, 10))
      .toEqual(true);
  });

  it("tells each of those that wait when its own token comes", () => {
    const { allowance } = createProcess("p", () => 1, 0);
    const calls = [{}, {}, {}];
    const waitsMs = calls.map((call) =>
      allowance.waitMs([TARGET], {
        ahead: allowance.enterWait(call, "q"),
        nowMs: 0,
      })
    );
    for (const [index, waitMs] of waitsMs.entries()) {
      expect(allowance.tryTake(TARGET, waitMs + 0.001)).toEqual(true);
      expect(allowance.maySend(TARGET, waitMs + 0.002)).toEqual(false);
      allowance.leaveWait(calls[index]!);
    }
    expect(allowance.enterWait({}, "q")).toEqual(0);
  });
});

describe("ProcessCount", () => {
  it("keeps the largest number of 10 s, and what was told before silence", () => {
    const count = new ProcessCount();
    const note = (processes: number, nowMs: number, isFresh = true) =>
      count.note(processes, { nowMs, isFresh });
    note(62, 0);
    expect(count.largest(2_999)).toEqual(undefined);
    note(1, 3_000);
    expect(count.largest(3_000)).toEqual(62);
    note(1, 30_000, false);
    note(31, 31_000);
    expect(count.largest(31_000)).toEqual(62);
    note(31, 40_001);
    expect(count.largest(40_001)).toEqual(31);
    note(63, 40_002);
    expect(count.largest(40_002)).toEqual(63);
  });
});

interface ColdWorld {
  readonly bornAtMs: number;
  readonly startAtMs: number;
  readonly change: "none" | "lead-lost" | "growth";
  readonly changeAtMs: number;
  readonly demandAtMs: number;
}

/** Times at which processes send to an instance while it is cold. */
function playCold(processes: number, options: ColdWorld): readonly number[] {
  const { bornAtMs, startAtMs, demandAtMs } = options;
  const target = { ...TARGET, bornAtMs };
  const all = Array.from({ length: processes }, (_, index) => {
    const count = new ProcessCount();
    const isNew = options.change === "growth" && index >= processes / 2;
    const process = createProcess(
      `p-${index}`,
      (nowMs) => count.largest(nowMs),
      startAtMs,
    );
    const note = (passedMs: number) => {
      if (isNew && passedMs < options.changeAtMs) return;
      const told = countTold(processes, { ...options, index, passedMs });
      count.note(told, { nowMs: startAtMs + passedMs, isFresh: true });
    };
    for (let passedMs = -7_000; passedMs < 0; passedMs += COUNT_STEP_MS) {
      note(passedMs);
    }
    return { ...process, note };
  });
  const times: number[] = [];
  for (let passedMs = 0; passedMs < COLD.startMs; passedMs += STEP_MS) {
    for (const { allowance, note } of all) {
      if (passedMs % COUNT_STEP_MS === 0) note(passedMs);
      if (passedMs < demandAtMs) continue;
      while (allowance.tryTake(target, startAtMs + passedMs)) {
        times.push(passedMs);
      }
    }
  }
  return times;
}

/** Every other process hears of a change as long as a sum may be old later. */
function countTold(
  processes: number,
  { change, changeAtMs, index, passedMs }: ColdWorld & {
    readonly index: number;
    readonly passedMs: number;
  },
): number {
  const heardAtMs = changeAtMs + (index % 2 === 0 ? 0 : VIEW_LAG_MS);
  const hasHeard = passedMs >= heardAtMs;
  if (change === "lead-lost") return hasHeard ? 1 : processes;
  const isOld = change === "growth" && !hasHeard;
  return isOld ? Math.ceil(processes / 2) : processes;
}

function createProcess(
  processId: string,
  countProcesses: (nowMs: number) => number | undefined,
  coldAtMs: number,
) {
  const tracker = new ColdTracker({
    findColdStart: () => COLD,
    onCold: () => {},
    onMalformed: () => {},
  });
  tracker.noteReported(
    { id: TARGET.instanceId, service: "s" },
    COLD.startMs,
    coldAtMs,
  );
  return {
    allowance: new ColdRateLimiter({
      tracker,
      processId,
      bounds: BOUNDS,
      countProcesses,
    }),
  };
}

/** The most times in any second. */
function countBusiest(times: readonly number[]): number {
  let busiest = 0;
  let start = 0;
  for (const [index, atMs] of times.entries()) {
    while (atMs - times[start]! >= 1_000) start += 1;
    busiest = Math.max(busiest, index - start + 1);
  }
  return busiest;
}
