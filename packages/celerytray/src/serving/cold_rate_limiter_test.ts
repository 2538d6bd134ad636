import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { ColdRateLimiter, findTokenRate } from "./cold_rate_limiter.ts";
import { ColdTracker } from "./cold_tracker.ts";
import { ProcessCount } from "./process_count.ts";

const SEED = 41;
const RUNS = 12;
const COLD = { startMs: 3_000, requestsPerSecond: 18 };
const BOUNDS = { overshoot: 1.5, slackRequests: 5 };
/** Requests per second: `cold_per_s` x `cold_overshoot` + `cold_slack`. */
const BOUND = 32;
const STEP_MS = 25;
const COUNT_STEP_MS = 500;
/** Delay after which the second half of the processes learns a new number. */
const VIEW_LAG_MS = 3_000;
const TARGET = { instanceId: "i-1", bornAtMs: 1, cold: COLD };

const world = fc.record({
  bornAtMs: fc.nat(),
  startAtMs: fc.nat(100_000),
  /** How the reported number of processes changes. */
  change: fc.constantFrom("none", "lead-lost", "growth" as const),
  changeAtMs: fc.integer({ min: -3_000, max: 3_000 }),
  /** Time from which there are requests; until then no token is spent. */
  demandAtMs: fc.integer({ min: 0, max: 2_000 }),
});

describe("ColdRateLimiter", () => {
  for (const processes of [1, 7, 62, 123, 390]) {
    it(`keeps the bound over ${processes} processes that share no counter`, () => {
      fc.assert(
        fc.property(world, (options) => {
          expect(findMaxPerSecond(simulate(processes, options)) <= BOUND)
            .toEqual(true);
        }),
        { seed: SEED, numRuns: RUNS },
      );
    });
  }

  it("uses its rate under constant demand", () => {
    const times = simulate(62, {
      bornAtMs: 1,
      startAtMs: 0,
      change: "none",
      changeAtMs: 0,
      demandAtMs: 0,
    });
    const perSecond = times.length / (COLD.startMs / 1_000);
    expect(perSecond > 10 && perSecond < 17).toEqual(true);
  });

  it("lowers its rate if the settings allow less above it", () => {
    const rates = [BOUNDS, { overshoot: 1, slackRequests: 0 }, {
      overshoot: 0,
      slackRequests: 0,
    }, { overshoot: 9, slackRequests: 9 }].map((bounds) =>
      findTokenRate(COLD, bounds).toFixed(1)
    );
    expect(rates).toEqual(["13.5", "6.3", "0.0", "13.5"]);
  });

  it("issues no token while the number of processes is unknown", () => {
    const { limiter } = createProcess("p", () => undefined, 0);
    expect(limiter.maySend(TARGET, 1_000)).toEqual(false);
    expect(limiter.estimateWaitMs([TARGET], { ahead: 0, nowMs: 1_000 }))
      .toEqual(2_000);
    expect(limiter.maySend(TARGET, 3_000)).toEqual(true);
  });

  it("limits neither a service without a cold start nor a warm instance", () => {
    const { limiter } = createProcess("p", () => undefined, 0);
    expect(limiter.maySend({ instanceId: "i-1" }, 10)).toEqual(true);
    expect(limiter.maySend({ ...TARGET, instanceId: "i-2" }, 10))
      .toEqual(true);
  });

  it("estimates for each waiting call when its own token is issued", () => {
    const { limiter } = createProcess("p", () => 1, 0);
    const calls = [{}, {}, {}];
    const waitsMs = calls.map((call) =>
      limiter.estimateWaitMs([TARGET], {
        ahead: limiter.enterQueue(call, "q"),
        nowMs: 0,
      })
    );
    for (const [index, waitMs] of waitsMs.entries()) {
      expect(limiter.tryTakeToken(TARGET, waitMs + 0.001)).toEqual(true);
      expect(limiter.maySend(TARGET, waitMs + 0.002)).toEqual(false);
      limiter.leaveQueue(calls[index]!);
    }
    expect(limiter.enterQueue({}, "q")).toEqual(0);
  });
});

describe("ProcessCount", () => {
  it("keeps the largest number of 10 s, and the last one while none is fresh", () => {
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

interface Scenario {
  readonly bornAtMs: number;
  readonly startAtMs: number;
  readonly change: "none" | "lead-lost" | "growth";
  readonly changeAtMs: number;
  readonly demandAtMs: number;
}

/** Simulates processes; returns the times at which they send to a cold instance. */
function simulate(processes: number, options: Scenario): readonly number[] {
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
    const note = (elapsedMs: number) => {
      if (isNew && elapsedMs < options.changeAtMs) return;
      const reported = findReported(processes, {
        ...options,
        index,
        elapsedMs,
      });
      count.note(reported, { nowMs: startAtMs + elapsedMs, isFresh: true });
    };
    for (let elapsedMs = -7_000; elapsedMs < 0; elapsedMs += COUNT_STEP_MS) {
      note(elapsedMs);
    }
    return { ...process, note };
  });
  const times: number[] = [];
  for (let elapsedMs = 0; elapsedMs < COLD.startMs; elapsedMs += STEP_MS) {
    for (const { limiter, note } of all) {
      if (elapsedMs % COUNT_STEP_MS === 0) note(elapsedMs);
      if (elapsedMs < demandAtMs) continue;
      while (limiter.tryTakeToken(target, startAtMs + elapsedMs)) {
        times.push(elapsedMs);
      }
    }
  }
  return times;
}

/** Every other process learns of a change later, by the maximum age of a sum. */
function findReported(
  processes: number,
  { change, changeAtMs, index, elapsedMs }: Scenario & {
    readonly index: number;
    readonly elapsedMs: number;
  },
): number {
  const reportedAtMs = changeAtMs + (index % 2 === 0 ? 0 : VIEW_LAG_MS);
  const isReported = elapsedMs >= reportedAtMs;
  if (change === "lead-lost") return isReported ? 1 : processes;
  const isOld = change === "growth" && !isReported;
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
    limiter: new ColdRateLimiter({
      tracker,
      processId,
      bounds: BOUNDS,
      countProcesses,
    }),
  };
}

/** Returns the maximum number of times within any second. */
function findMaxPerSecond(times: readonly number[]): number {
  let busiest = 0;
  let start = 0;
  for (const [index, atMs] of times.entries()) {
    while (atMs - times[start]! >= 1_000) start += 1;
    busiest = Math.max(busiest, index - start + 1);
  }
  return busiest;
}
