import { expect } from "earl";
import { describe, it } from "node:test";
import { ColdRateLimiter } from "./cold_allowance.ts";
import { ColdTracker } from "./cold_tracker.ts";
import { StallDetector } from "./stall_watch.ts";
import {
  answerWhole,
  call,
  readNowMs,
  startBackend,
  startEntry,
} from "./test_entry.ts";

const COLD = { startMs: 3_000, requestsPerSecond: 18 };

describe("serveCall", () => {
  it("refuses at once as not run where no instance may get a request", async () => {
    for (const reason of ["evacuated", "not-at-home"] as const) {
      let looks = 0;
      const findBar = () => {
        looks += 1;
        return reason;
      };
      const entry = await startEntry({
        backends: [],
        findExclusionReason: findBar,
      });
      const { status, body } = await call(entry, "/safe/x");
      expect([status, body.includes("was not run")]).toEqual([503, true]);
      // A request that waits looks again.
      expect(looks).toEqual(1);
    }
  });

  it("looks for targets in the regions that route and organisation allow", async () => {
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

  it("waits for an instance that is cold for a short time only", async () => {
    const { entry, backendCalls } = await startColdEntry({ coldMs: 150 });
    const { status, durationMs } = await timeCall(entry);
    expect([status, backendCalls()]).toEqual([200, 1]);
    expect(durationMs >= 100).toEqual(true);
  });

  it("refuses at once, with the time to come back, where all stay cold", async () => {
    const { entry, backendCalls, allowance } = await startColdEntry({
      coldMs: 1_500,
    });
    let looks = 0;
    const waitMs = allowance.waitMs.bind(allowance);
    allowance.waitMs = (targets, options) => {
      looks += 1;
      return waitMs(targets, options);
    };
    const { status, headers } = await call(entry, "/safe/x");
    expect([status, backendCalls(), looks]).toEqual([503, 0, 1]);
    // A third of the 2 s for which the caller waits.
    expect(Math.abs(Number(headers["retry-after"]) - 0.66) < 0.03)
      .toEqual(true);
  });

  // Guards against a path to an instance that takes no token.
  it("takes a token for each attempt, repeats included", async () => {
    const { entry, backendCalls, allowance } = await startColdEntry({
      coldMs: 3_000,
      processes: 1,
      fails: true,
    });
    const taken: number[] = [];
    const tryTake = allowance.tryTake.bind(allowance);
    allowance.tryTake = (target, nowMs) => {
      const isTaken = tryTake(target, nowMs);
      if (isTaken) taken.push(nowMs);
      return isTaken;
    };
    await Promise.all(Array.from({ length: 5 }, () => call(entry, "/safe/x")));
    expect(backendCalls() >= 10).toEqual(true);
    expect(taken.length).toEqual(backendCalls());
    // Two instances, each at 0.75 x 18 a second.
    expect(taken.at(-1)! - taken[0]! >= 250).toEqual(true);
  });

  // Guards against a head's streams that all leave for one token.
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
      coldLimiter: createAllowance(tracker, 1),
    });
    const answer = await call(entry, "/stream/x");
    expect(answer.body).toEqual("id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    expect(arrivals.length).toEqual(2);
  });
});

async function timeCall(entry: number) {
  const startedAtMs = readNowMs();
  const answer = await call(entry, "/safe/x");
  return { ...answer, durationMs: readNowMs() - startedAtMs };
}

/** An entry with two instances that have just turned cold. */
async function startColdEntry(
  { coldMs, processes, fails = false }: {
    readonly coldMs: number;
    /** Processes that share the rate; unknown without it. */
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
      else answerWhole(incoming, response);
    });
  const backends = [await start(), await start()].map((backend) => ({
    ...backend,
    cold: COLD,
  }));
  const allowance = createAllowance(tracker, processes);
  const entry = await startEntry({ backends, coldLimiter: allowance });
  for (const { instanceId } of backends) {
    tracker.noteReported({ id: instanceId, service: "s" }, coldMs, readNowMs());
  }
  return { entry, allowance, backendCalls: () => calls };
}

function createTracker(): ColdTracker {
  return new ColdTracker({
    findColdStart: () => COLD,
    onCold: () => {},
    onMalformed: () => {},
  });
}

function createAllowance(
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
