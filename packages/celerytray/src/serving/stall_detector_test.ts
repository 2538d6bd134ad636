import { expect } from "earl";
import { describe, it } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { LoadTracker } from "./load_tracker.ts";
import { QueueWaitEstimator } from "./queue_wait_estimator.ts";
import { SilenceStats } from "./silence_stats.ts";
import { StallDetector, type WatchedAttempt } from "./stall_detector.ts";

const SLOTS = 24;

function createAttempt(
  overrides: Partial<WatchedAttempt> = {},
): WatchedAttempt {
  return {
    instanceId: "a",
    model: "m",
    startedAtMs: 0,
    hasStarted: () => false,
    isPaused: () => false,
    rank: () => 0,
    tryMove: () => true,
    ...overrides,
  };
}

/** Creates a detector for a head that has reported a queue. */
function createQueueDetector(
  waiting: number,
  reportedAtMs = 0,
): StallDetector {
  const loads = new LoadTracker();
  const waits = new QueueWaitEstimator(loads);
  waits.noteServed("m", 1_000);
  const running = waiting > 0 ? SLOTS : SLOTS - 1;
  loads.noteLoad("a", { running, waiting, slots: SLOTS }, reportedAtMs);
  return new StallDetector({
    queueWaitMs: (request, nowMs) => waits.expectedWaitMs(request, nowMs),
  });
}

it("suspects an instance once all its attempts are silent", () => {
  const detector = new StallDetector();
  const endFirst = detector.watch(createAttempt());
  const endSecond = detector.watch(createAttempt());
  detector.noteProgress("a", 100);
  expect(detector.isSilent("a", 250)).toEqual(false);
  expect(detector.isSilent("a", 300)).toEqual(true);
  expect(detector.findSuspected(499)).toEqual([]);
  expect(detector.findSuspected(500)).toEqual([
    { instanceId: "a", silentMs: 400, attempts: 2, isStalled: false },
  ]);
  endFirst();
  expect(detector.findSuspected(500)).toEqual([]);
  expect(detector.findSuspected(800).length).toEqual(1);
  endSecond();
  expect(detector.findSuspected(5_000)).toEqual([]);
});

it("moves the attempts of the highest rank first", () => {
  const detector = new StallDetector();
  const moved: string[] = [];
  for (
    const [name, rank] of [["new", -3], ["begun", 8], ["urgent", 0]] as const
  ) {
    detector.watch(createAttempt({
      rank: () => rank,
      tryMove: (reason) => moved.push(`${name} ${reason}`) > 0,
    }));
  }
  detector.moveAttempts("a", { reason: "stalled", nowMs: 0 });
  expect(moved).toEqual(["begun stalled", "urgent stalled", "new stalled"]);
});

describe("an instance that reported its load", () => {
  it("is suspected after the usual time if it had free slots", () => {
    const detector = createQueueDetector(0);
    detector.watch(createAttempt());
    expect(detector.isSilent("a", 200)).toEqual(true);
    expect(detector.findSuspected(699)).toEqual([]);
    expect(detector.findSuspected(700)[0]?.isStalled).toEqual(false);
    expect(detector.findSuspected(1_100)[0]?.isStalled).toEqual(true);
  });

  it("is suspected later by its expected queue wait, up to 3 s", () => {
    const detector = createQueueDetector(12);
    detector.watch(createAttempt());
    expect(detector.isSilent("a", 699)).toEqual(false);
    expect(detector.isSilent("a", 700)).toEqual(true);
    expect(detector.findSuspected(1_199)).toEqual([]);
    expect(detector.findSuspected(1_200)[0]?.isStalled).toEqual(false);
    expect(detector.findSuspected(1_600)[0]?.isStalled).toEqual(true);
    const longQueue = createQueueDetector(240);
    longQueue.watch(createAttempt());
    expect(longQueue.findSuspected(2_999)).toEqual([]);
    expect(longQueue.findSuspected(3_000)[0]?.isStalled).toEqual(true);
  });

  it("is suspected for silent streams regardless of its queue", () => {
    const detector = createQueueDetector(24);
    detector.watch(createAttempt({ hasStarted: () => true }));
    detector.watch(createAttempt({ hasStarted: () => true }));
    detector.watch(createAttempt());
    detector.noteProgress("a", 1_000);
    expect(detector.findSuspected(1_399)).toEqual([]);
    expect(detector.findSuspected(1_400)[0]?.attempts).toEqual(2);
    expect(detector.findSuspected(2_100)[0]?.isStalled).toEqual(true);
  });

  it("loses one waiting request per second, and all once the leader closed it", () => {
    const detector = createQueueDetector(24);
    let moves = 0;
    for (let index = 0; index < 10; index++) {
      detector.watch(createAttempt({ tryMove: () => (moves += 1) > 0 }));
    }
    for (let nowMs = 3_000; nowMs < 5_000; nowMs += 50) {
      detector.moveAttempts("a", { reason: "stalled", nowMs });
    }
    expect(moves).toEqual(2);
    expect(detector.findSuspected(400, ["a"])[0]?.isStalled).toEqual(true);
    detector.moveAttempts("a", {
      reason: "stalled",
      nowMs: 5_000,
      isClosed: true,
    });
    expect(moves).toEqual(12);
  });
});

it("measures silence only up to the last reading while the process lags", () => {
  let isBehind = true;
  const detector = new StallDetector({ isBehind: () => isBehind });
  detector.watch(createAttempt({ hasStarted: () => true }));
  detector.watch(createAttempt({ hasStarted: () => true }));
  detector.noteRead(300);
  expect(detector.findSuspected(2_000)).toEqual([]);
  detector.noteRead(2_000);
  expect(detector.findSuspected(2_000)[0]?.silentMs).toEqual(2_000);
  detector.noteProgress("a", 2_000);
  isBehind = false;
  expect(detector.findSuspected(2_400).length).toEqual(1);
});

// Guards against a stream that is run a second time, and its buffered events
// thrown away, as its caller reads slowly from an instance that is slow too.
it("moves no attempt from a slow instance whose caller doesn't keep up", () => {
  const detector = new StallDetector();
  const moved: string[] = [];
  const watch = (name: string, isPaused: boolean) =>
    detector.watch(createAttempt({
      hasStarted: () => true,
      isPaused: () => isPaused,
      tryMove: (reason) => moved.push(`${name} ${reason}`) > 0,
    }));
  watch("paused", true);
  watch("reading", false);
  detector.moveAttempts("a", { reason: "slow", nowMs: 0 });
  expect(moved).toEqual(["reading slow"]);
  detector.moveAttempts("a", { reason: "stalled", nowMs: 0 });
  expect(moved.slice(1)).toEqual(["paused stalled", "reading stalled"]);
});

it("mistakes neither the lag of the process nor slow callers for a stall", () => {
  const detector = new StallDetector({ isBehind: (nowMs) => nowMs < 5_000 });
  const end = detector.watch(createAttempt());
  expect(detector.findSuspected(4_999)).toEqual([]);
  expect(detector.findSuspected(5_000).length).toEqual(1);
  end();
  detector.watch(
    createAttempt({ hasStarted: () => true, isPaused: () => true }),
  );
  expect(detector.findSuspected(9_000)).toEqual([]);
  expect(detector.isSilent("a", 9_000)).toEqual(false);
});

/**
 * Simulates a head with 62 processes, where each request takes a slot for 1.5 s.
 * The head keeps as many requests waiting as it has slots. Guards against
 * mistaking queues for stalls, which gave 1,515 suspicions in 18,000 requests.
 */
for (const load of [0.9, 1.05, 1.2, 1.7, 4, 9]) {
  it(`does not suspect a head for its queue at ${load} times its capacity`, () => {
    for (let seed = 1; seed <= 10; seed++) {
      expect(countQueueSuspicions(load, seed)).toEqual(0);
    }
  });
}

const SERVICE_MS = 1_500;
const PROCESSES = 62;
/** Time for which a reported queue counts as recent. */
const REPORTED_QUEUE_VALID_MS = 10_000;

function countQueueSuspicions(load: number, seed: number): number {
  const loads = new LoadTracker();
  const waits = new QueueWaitEstimator(loads);
  const detector = new StallDetector({
    queueWaitMs: (request, nowMs) => waits.expectedWaitMs(request, nowMs),
  });
  const random = xoroshiro128plus(seed);
  const gapMs = SERVICE_MS / SLOTS / load;
  let nextAtMs = 0;
  let reportedQueueAtMs = Number.NEGATIVE_INFINITY;
  let suspicions = 0;
  let running: SimulatedRequest[] = [];
  const queue: SimulatedRequest[] = [];
  for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
    running = running.filter(({ endsAtMs, end }) => {
      if (endsAtMs > nowMs) return true;
      end?.();
      return false;
    });
    for (; nextAtMs <= nowMs; nextAtMs += gapMs * 2 * uniformFloat64(random)) {
      const isOwn = uniformFloat64(random) * PROCESSES < 1;
      if (queue.length >= SLOTS) {
        if (isOwn) noteAnswer(nowMs);
        continue;
      }
      queue.push({ endsAtMs: 0, ...(isOwn ? beginOwn(nowMs) : {}) });
    }
    while (running.length < SLOTS && queue.length > 0) {
      const request = queue.shift()!;
      request.endsAtMs = nowMs + SERVICE_MS;
      running.push(request);
      if (request.end === undefined) continue;
      request.start?.();
      noteAnswer(nowMs);
    }
    // Streams in progress send events constantly.
    if (running.some(({ end }) => end !== undefined)) {
      detector.noteProgress("a", nowMs);
    }
    const isQueueKnown = nowMs - reportedQueueAtMs < REPORTED_QUEUE_VALID_MS &&
      waits.meanServiceMs("m") > 0;
    if (isQueueKnown) suspicions += detector.findSuspected(nowMs).length;
  }
  return suspicions;

  function noteAnswer(nowMs: number): void {
    detector.noteProgress("a", nowMs);
    const waiting = queue.length;
    loads.noteLoad(
      "a",
      { running: running.length, waiting, slots: SLOTS },
      nowMs,
    );
    reportedQueueAtMs = waiting > 0 ? nowMs : Number.NEGATIVE_INFINITY;
  }

  function beginOwn(nowMs: number): Pick<SimulatedRequest, "start" | "end"> {
    let hasStarted = false;
    loads.noteSent("a");
    const stopWatching = detector.watch(
      createAttempt({ startedAtMs: nowMs, hasStarted: () => hasStarted }),
    );
    return {
      start: () => hasStarted = true,
      end: () => {
        loads.noteEnded("a");
        waits.noteServed("m", SERVICE_MS);
        stopWatching();
      },
    };
  }
}

interface SimulatedRequest {
  endsAtMs: number;
  readonly start?: () => void;
  readonly end?: () => void;
}

// Load: two models of different pace. New requests leave a silent head of the
// fast model early, and a head of the slow model keeps them between its events.
describe("models that are usually silent for different times", () => {
  const createDetector = () => {
    const silences = new SilenceStats();
    for (let time = 0; time < 200; time += 1) {
      const isLong = time % 2 === 0;
      for (const [model, silentMs] of [["fast", 30], ["slow", 300]] as const) {
        const observed = {
          model,
          silentMs: isLong ? silentMs * 1.2 : silentMs,
        };
        silences.note({ ...observed, awaited: "next" });
        silences.note({ ...observed, awaited: "first", silentMs: 180 });
      }
    }
    const detector = new StallDetector({
      usualSilenceMs: (model, awaited) => silences.usualMaxMs(model, awaited),
    });
    for (const model of ["fast", "slow"]) {
      detector.watch(createAttempt({
        instanceId: model,
        model,
        hasStarted: () => true,
      }));
    }
    return detector;
  };

  it("avoids each after more than its usual silence", () => {
    const detector = createDetector();
    expect(detector.isSilent("fast", 40)).toEqual(false);
    expect(detector.isSilent("fast", 60)).toEqual(true);
    expect(detector.isSilent("slow", 360)).toEqual(false);
    expect(detector.isSilent("slow", 600)).toEqual(true);
  });

  it("allows a request that has not started the usual time until then", () => {
    const detector = createDetector();
    detector.watch(createAttempt({ instanceId: "new", model: "fast" }));
    expect(detector.isSilent("new", 170)).toEqual(false);
    expect(detector.isSilent("new", 250)).toEqual(true);
  });
});
