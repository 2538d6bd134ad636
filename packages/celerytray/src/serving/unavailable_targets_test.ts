import { expect } from "earl";
import { describe, it } from "node:test";
import { ColdRateLimiter } from "./cold_rate_limiter.ts";
import { ColdTracker } from "./cold_tracker.ts";
import { StallDetector } from "./stall_detector.ts";
import {
  call,
  readNowMs,
  respondDone,
  startBackend,
  startEntry,
} from "./test_entry.ts";

const COLD = { startMs: 3_000, requestsPerSecond: 18 };

describe("serveCall", () => {
  it("refuses at once as not run if every instance is excluded", async () => {
    for (const reason of ["evacuated", "not-at-home"] as const) {
      let searches = 0;
      const findExclusionReason = () => {
        searches += 1;
        return reason;
      };
      const entry = await startEntry({
        backends: [],
        findExclusionReason,
      });
      const { status, body } = await call(entry, "/safe/x");
      expect([status, body.includes("was not run")]).toEqual([503, true]);
      // A waiting request would search again.
      expect(searches).toEqual(1);
    }
  });

  it("searches targets in the home regions of both route and organisation", async () => {
    const seen: unknown[] = [];
    const entry = await startEntry({
      backends: [],
      homes: { route: ["north", "south"], tenant: ["south"] },
      findExclusionReason: (_service, homes) => {
        seen.push(homes);
        return "not-at-home";
      },
    });
    expect((await call(entry, "/safe/x")).status).toEqual(503);
    expect(seen).toEqual([["south"]]);
  });

  it("waits for an instance that stays cold only for a short time", async () => {
    const { entry, backendCalls } = await startColdEntry({ coldMs: 150 });
    const { status, durationMs } = await timeCall(entry);
    expect([status, backendCalls()]).toEqual([200, 1]);
    expect(durationMs >= 100).toEqual(true);
  });

  it("refuses at once with Retry-After if all instances stay cold", async () => {
    const { entry, backendCalls, limiter } = await startColdEntry({
      coldMs: 1_500,
    });
    let searches = 0;
    const estimateWaitMs = limiter.estimateWaitMs.bind(limiter);
    limiter.estimateWaitMs = (targets, options) => {
      searches += 1;
      return estimateWaitMs(targets, options);
    };
    const { status, headers } = await call(entry, "/safe/x");
    expect([status, backendCalls(), searches]).toEqual([503, 0, 1]);
    // A third of the 2 s for which the caller waits.
    expect(Math.abs(Number(headers["retry-after"]) - 0.66) < 0.03)
      .toEqual(true);
  });

  // Guards against a code path that sends a request without taking a token.
  it("takes a token for each attempt, retries included", async () => {
    const { entry, backendCalls, limiter } = await startColdEntry({
      coldMs: 3_000,
      processes: 1,
      fails: true,
    });
    const taken: number[] = [];
    const tryTakeToken = limiter.tryTakeToken.bind(limiter);
    limiter.tryTakeToken = (target, nowMs) => {
      const isTaken = tryTakeToken(target, nowMs);
      if (isTaken) taken.push(nowMs);
      return isTaken;
    };
    // One request that is lost everywhere would be held back.
    const calls = [1, 2, 3, 4, 5].map((id) => call(entry, `/safe/${id}`));
    await Promise.all(calls);
    expect(backendCalls() >= 10).toEqual(true);
    expect(taken.length).toEqual(backendCalls());
    // Two instances, each at 0.75 x 18 requests per second.
    expect(taken.at(-1)! - taken[0]! >= 250).toEqual(true);
  });

  // Guards against moving all streams of a head on account of a single token.
  it("moves a stream to a warm instance only", async () => {
    const stalls = new StallDetector();
    const arrivals: string[] = [];
    const tracker = createTracker();
    const note = (coldMs: number) => {
      for (const id of ids) {
        tracker.noteReported({ id, service: "s" }, coldMs, readNowMs());
      }
    };
    const ids: string[] = [];
    const start = async () => {
      const target = await startBackend((incoming, response) => {
        arrivals.push(target.instanceId);
        response.writeHead(200, {
          "attempt-id": String(incoming.headers["attempt-id"]),
          "server-stamp": "s",
          "content-type": "text/event-stream",
        });
        if (arrivals.length > 1) {
          response.end("id: 1\ndata: b\n\n");
          return;
        }
        response.write("id: 0\ndata: a\n\n");
        note(COLD.startMs);
        const move = () =>
          stalls.moveAttempts(target.instanceId, {
            reason: "stalled",
            nowMs: performance.now(),
          });
        const moving = setInterval(move, 20);
        setTimeout(() => {
          expect(arrivals.length).toEqual(1);
          note(0);
        }, 300);
        response.on("close", () => clearInterval(moving));
      });
      ids.push(target.instanceId);
      return { ...target, cold: COLD };
    };
    const entry = await startEntry({
      backends: [await start(), await start()],
      stalls,
      coldLimiter: createLimiter(tracker, 1),
    });
    const response = await call(entry, "/stream/x");
    expect(response.body).toEqual("id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    expect(arrivals.length).toEqual(2);
  });
});

async function timeCall(entry: number) {
  const startedAtMs = readNowMs();
  const response = await call(entry, "/safe/x");
  return { ...response, durationMs: readNowMs() - startedAtMs };
}

/** Starts an entry with two instances that have just turned cold. */
async function startColdEntry(
  { coldMs, processes, fails = false }: {
    readonly coldMs: number;
    /** Number of processes that share the rate; unknown if omitted. */
    readonly processes?: number;
    readonly fails?: boolean;
  },
) {
  let calls = 0;
  const tracker = createTracker();
  const start = () =>
    startBackend((incoming, response) => {
      calls += 1;
      if (fails) incoming.socket.destroy();
      else respondDone(incoming, response);
    });
  const backends = [await start(), await start()].map((backend) => ({
    ...backend,
    cold: COLD,
  }));
  const limiter = createLimiter(tracker, processes);
  const entry = await startEntry({ backends, coldLimiter: limiter });
  for (const { instanceId } of backends) {
    tracker.noteReported({ id: instanceId, service: "s" }, coldMs, readNowMs());
  }
  return { entry, limiter, backendCalls: () => calls };
}

function createTracker(): ColdTracker {
  return new ColdTracker({
    findColdStart: () => COLD,
    onCold: () => {},
    onMalformed: () => {},
  });
}

function createLimiter(
  tracker: ColdTracker,
  processes: number | undefined,
): ColdRateLimiter {
  return new ColdRateLimiter({
    tracker,
    processId: "p",
    bounds: { overshoot: 1.5, slackRequests: 5 },
    countProcesses: () => processes,
  });
}
