import { expect } from "earl";
import { describe, it } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { LoadTracker } from "./load_tracker.ts";
import { QueueWaitEstimator } from "./queue_wait.ts";
import { StallDetector, type WatchedAttempt } from "./stall_watch.ts";

const SLOTS = 24;

function createAttempt(own: Partial<WatchedAttempt> = {}): WatchedAttempt {
  return {
    instanceId: "a",
    model: "m",
    startedAtMs: 0,
    hasStarted: () => false,
    isPaused: () => false,
    rank: () => 0,
    tryMove: () => true,
    ...own,
  };
}

/** A watch on a head that told of a load at a time. */
function createQueueWatch(waiting: number, toldAtMs = 0): StallDetector {
  const loads = new LoadTracker();
  const waits = new QueueWaitEstimator(loads);
  waits.noteServed("m", 1_000);
  const running = waiting > 0 ? SLOTS : SLOTS - 1;
  loads.noteLoad("a", { running, waiting, slots: SLOTS }, toldAtMs);
  return new StallDetector({
    queueWaitMs: (request, nowMs) => waits.expectedWaitMs(request, nowMs),
  });
}

it("doubts an instance once all its attempts are silent", () => {
  const watch = new StallDetector();
  const endFirst = watch.begin(createAttempt());
  const endSecond = watch.begin(createAttempt());
  watch.noteProgress("a", 100);
  expect(watch.isSilent("a", 250)).toEqual(false);
  expect(watch.isSilent("a", 300)).toEqual(true);
  expect(watch.findSuspected(499)).toEqual([]);
  expect(watch.findSuspected(500)).toEqual([
    { instanceId: "a", silentMs: 400, attempts: 2, isStalled: false },
  ]);
  endFirst();
  expect(watch.findSuspected(500)).toEqual([]);
  expect(watch.findSuspected(800).length).toEqual(1);
  endSecond();
  expect(watch.findSuspected(5_000)).toEqual([]);
});

it("lets the attempts of the highest rank move first", () => {
  const watch = new StallDetector();
  const moved: string[] = [];
  for (
    const [name, rank] of [["new", -3], ["begun", 8], ["urgent", 0]] as const
  ) {
    watch.begin(createAttempt({
      rank: () => rank,
      tryMove: (reason) => moved.push(`${name} ${reason}`) > 0,
    }));
  }
  watch.moveAttempts("a", { reason: "stalled", nowMs: 0 });
  expect(moved).toEqual(["begun stalled", "urgent stalled", "new stalled"]);
});

describe("an instance that told of its load", () => {
  it("is judged as before where it had free slots", () => {
    const watch = createQueueWatch(0);
    watch.begin(createAttempt());
    expect(watch.isSilent("a", 200)).toEqual(true);
    expect(watch.findSuspected(699)).toEqual([]);
    expect(watch.findSuspected(700)[0]?.isStalled).toEqual(false);
    expect(watch.findSuspected(1_100)[0]?.isStalled).toEqual(true);
  });

  it("is given the time that its queue explains, 3 s at most", () => {
    const watch = createQueueWatch(12);
    watch.begin(createAttempt());
    expect(watch.isSilent("a", 699)).toEqual(false);
    expect(watch.isSilent("a", 700)).toEqual(true);
    expect(watch.findSuspected(1_199)).toEqual([]);
    expect(watch.findSuspected(1_200)[0]?.isStalled).toEqual(false);
    expect(watch.findSuspected(1_600)[0]?.isStalled).toEqual(true);
    const long = createQueueWatch(240);
    long.begin(createAttempt());
    expect(long.findSuspected(2_999)).toEqual([]);
    expect(long.findSuspected(3_000)[0]?.isStalled).toEqual(true);
  });

  it("is doubted for silent streams whatever its queue", () => {
    const watch = createQueueWatch(24);
    watch.begin(createAttempt({ hasStarted: () => true }));
    watch.begin(createAttempt({ hasStarted: () => true }));
    watch.begin(createAttempt());
    watch.noteProgress("a", 1_000);
    expect(watch.findSuspected(1_399)).toEqual([]);
    expect(watch.findSuspected(1_400)[0]?.attempts).toEqual(2);
    expect(watch.findSuspected(2_100)[0]?.isStalled).toEqual(true);
  });

  it("loses one waiting request a second, and all once the lead closed it", () => {
    const watch = createQueueWatch(24);
    let moves = 0;
    for (let index = 0; index < 10; index++) {
      watch.begin(createAttempt({ tryMove: () => (moves += 1) > 0 }));
    }
    for (let nowMs = 3_000; nowMs < 5_000; nowMs += 50) {
      watch.moveAttempts("a", { reason: "stalled", nowMs });
    }
    expect(moves).toEqual(2);
    expect(watch.findSuspected(400, ["a"])[0]?.isStalled).toEqual(true);
    watch.moveAttempts("a", {
      reason: "stalled",
      nowMs: 5_000,
      isClosed: true,
    });
    expect(moves).toEqual(12);
  });
});

it("counts silence only up to the last reading while it is behind", () => {
  let isBehind = true;
  const watch = new StallDetector({ isBehind: () => isBehind });
  watch.begin(createAttempt({ hasStarted: () => true }));
  watch.begin(createAttempt({ hasStarted: () => true }));
  watch.noteRead(300);
  expect(watch.findSuspected(2_000)).toEqual([]);
  watch.noteRead(2_000);
  expect(watch.findSuspected(2_000)[0]?.silentMs).toEqual(2_000);
  watch.noteProgress("a", 2_000);
  isBehind = false;
  expect(watch.findSuspected(2_400).length).toEqual(1);
});

it("takes neither its own lateness nor slow callers for a stall", () => {
  const watch = new StallDetector({ isBehind: (nowMs) => nowMs < 5_000 });
  const end = watch.begin(createAttempt());
  expect(watch.findSuspected(4_999)).toEqual([]);
  expect(watch.findSuspected(5_000).length).toEqual(1);
  end();
  watch.begin(createAttempt({ hasStarted: () => true, isPaused: () => true }));
  expect(watch.findSuspected(9_000)).toEqual([]);
  expect(watch.isSilent("a", 9_000)).toEqual(false);
});

/**
 * One head before 62 processes, each request taking a slot for 1.5 s. The
 * head keeps as many requests waiting as it has slots. Guards against the
 * fault that queues were taken for stalls: 1,515 doubts in 18,000 requests.
 */
for (const load of [0.9, 1.05, 1.2, 1.7, 4, 9]) {
  it(`is not doubted for its queue at ${load} times its capacity`, () => {
    for (let seed = 1; seed <= 10; seed++) {
      expect(countQueueDoubts(load, seed)).toEqual(0);
    }
  });
}

const SERVICE_MS = 1_500;
const PROCESSES = 62;
/** Time for which an answer that told of a queue counts as recent. */
const LATELY_MS = 10_000;

function countQueueDoubts(load: number, seed: number): number {
  const loads = new LoadTracker();
  const waits = new QueueWaitEstimator(loads);
  const watch = new StallDetector({
    queueWaitMs: (request, nowMs) => waits.expectedWaitMs(request, nowMs),
  });
  const random = xoroshiro128plus(seed);
  const gapMs = SERVICE_MS / SLOTS / load;
  let nextAtMs = 0;
  let toldQueueAtMs = Number.NEGATIVE_INFINITY;
  let doubts = 0;
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
    // Streams in progress send events all the time.
    if (running.some(({ end }) => end !== undefined)) {
      watch.noteProgress("a", nowMs);
    }
    const isQueueKnown = nowMs - toldQueueAtMs < LATELY_MS &&
      waits.usualServiceMs("m") > 0;
    if (isQueueKnown) doubts += watch.findSuspected(nowMs).length;
  }
  return doubts;

  function noteAnswer(nowMs: number): void {
    watch.noteProgress("a", nowMs);
    const waiting = queue.length;
    loads.noteLoad(
      "a",
      { running: running.length, waiting, slots: SLOTS },
      nowMs,
    );
    toldQueueAtMs = waiting > 0 ? nowMs : Number.NEGATIVE_INFINITY;
  }

  function beginOwn(nowMs: number): Pick<SimulatedRequest, "start" | "end"> {
    let hasStarted = false;
    loads.noteSent("a");
    const endWatch = watch.begin(
      createAttempt({ startedAtMs: nowMs, hasStarted: () => hasStarted }),
    );
    return {
      start: () => hasStarted = true,
      end: () => {
        loads.noteEnded("a");
        waits.noteServed("m", SERVICE_MS);
        endWatch();
      },
    };
  }
}

interface SimulatedRequest {
  endsAtMs: number;
  readonly start?: () => void;
  readonly end?: () => void;
}
