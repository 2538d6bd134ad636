import { expect } from "earl";
import type { RequestListener } from "node:http";
import { describe, it } from "node:test";
import type { CallAdmission } from "./admission/index.ts";
import type { ExclusionReason } from "./call_context.ts";
import type { ServingTarget } from "./choose_target.ts";
import { createTestAdmission } from "./create_test_dependencies.ts";
import { CrashQuarantine, type QuarantineVerdict } from "./quarantine/index.ts";
import { call, idOf, startBackend, startEntry } from "./test_entry.ts";

/** Longer than the quarter of the latency target that other requests wait. */
const AWAY_MS = 400;
/** Deadline of the test's calls. */
const DEADLINE_MS = 2_000;
/** Longer than the silence for which the route's callers are sure to wait, 1 s. */
const LONG_AWAY_MS = 1_400;
/** Time after which the first events have been passed on. */
const SENDING_MS = 30;
const LAST_EVENT_ID = 3;

// Guards against a stream that is broken off as no replica can take it at the
// moment when its own is interrupted, with most of its time left (LOST).
describe("a stream whose replica is interrupted", () => {
  it("is resumed at a replica that opens later", async () => {
    await expectResumed({ awayMs: AWAY_MS });
  });

  it("is resumed at the head of a new replica, although that had it before", async () => {
    const backends: ServingTarget[] = [];
    let requests = 0;
    const head = await startBackend((incoming, response) => {
      requests += 1;
      if (requests > 1) respondRest(incoming, response);
      else {
        respondAndEnd(() => {
          backends.length = 0;
          setTimeout(() => backends.push({ ...head, epoch: 2 }), AWAY_MS);
        })(incoming, response);
      }
    });
    backends.push({ ...head, epoch: 1 });
    const entry = await startEntry({ backends, trySpend: () => true });
    expectWhole(await call(entry, "/stream/x"));
  });

  it("is resumed once the retry budget allows it", async () => {
    let mayRetry = false;
    const backends = [
      await startBackend(respondAndEnd(() => {
        setTimeout(() => mayRetry = true, AWAY_MS);
      })),
    ];
    const entry = await startEntry({ backends, trySpend: () => mayRetry });
    const answer = call(entry, "/stream/x");
    backends.push(await startBackend(respondRest));
    expectWhole(await answer);
  });

  it("is resumed at a replica that was full when it asked first", async () => {
    let requests = 0;
    const backends = [await startBackend(respondAndEnd(() => {}))];
    const entry = await startEntry({ backends, trySpend: () => true });
    const answer = call(entry, "/stream/x");
    backends.push(
      await startBackend((incoming, response) => {
        requests += 1;
        if (requests === 1) rejectAsFull(incoming, response);
        else respondRest(incoming, response);
      }),
    );
    expectWhole(await answer);
    expect(requests).toEqual(2);
  });

  it("is resumed while a part of its prompt waits for its trial", async () => {
    const quarantine = new HoldingQuarantine();
    const backends = [
      await startBackend(respondAndEnd(() => {
        quarantine.holds = true;
        setTimeout(() => quarantine.holds = false, AWAY_MS);
      })),
    ];
    const entry = await startEntry({
      backends,
      trySpend: () => true,
      quarantine,
    });
    const answer = call(entry, "/stream/x");
    backends.push(await startBackend(respondRest));
    expectWhole(await answer);
  });

  it("is broken off at its deadline, and not before", async () => {
    const { durationMs, ...answer } = await callWithoutReplica();
    expect([answer.isComplete, answer.body]).toEqual([false, events(0, 1)]);
    expect(durationMs >= DEADLINE_MS).toEqual(true);
  });

  it("is resumed at a replica that opens after its caller might have left", async () => {
    await expectResumed({ awayMs: LONG_AWAY_MS });
  });

  it("is resumed at a replica that opens sooner than was expected", async () => {
    const admission = createTestAdmission({
      timeToReplicaMs: () => 2 * DEADLINE_MS,
    });
    await expectResumed({ awayMs: AWAY_MS, admission });
  });

  it("is resumed once the retry budget allows it after a long time", async () => {
    let mayRetry = false;
    const backends = [
      await startBackend(respondAndEnd(() => {
        setTimeout(() => mayRetry = true, LONG_AWAY_MS);
      })),
    ];
    const entry = await startEntry({ backends, trySpend: () => mayRetry });
    const answer = call(entry, "/stream/x");
    backends.push(await startBackend(respondRest));
    expectWhole(await answer);
  });

  it("is resumed at one that was full for longer than its caller might stay", async () => {
    let hasRoom = false;
    const backends = [await startBackend(respondAndEnd(() => {}))];
    const entry = await startEntry({ backends, trySpend: () => true });
    const answer = call(entry, "/stream/x");
    backends.push(
      await startBackend((incoming, response) => {
        if (hasRoom) respondRest(incoming, response);
        else rejectAsFull(incoming, response);
      }),
    );
    setTimeout(() => hasRoom = true, LONG_AWAY_MS);
    expectWhole(await answer);
  });

  it("is resumed in the zones that are no longer evacuated", async () => {
    await expectResumed({ awayMs: AWAY_MS, exclusion: "evacuated" });
  });
});

/** A quarantine that holds every request while it is told to. */
class HoldingQuarantine extends CrashQuarantine {
  holds = false;

  constructor() {
    super({ nodeId: "p", onEvent: () => {} });
    this.load([]);
  }

  override assess(): QuarantineVerdict {
    return this.holds
      ? { kind: "held", part: "part", crashes: 2 }
      : { kind: "clear" };
  }
}

/**
 * Expects a stream to be whole whose replica is interrupted, and for which another
 * one opens some time later. There is none meanwhile, for the reason given.
 */
async function expectResumed(
  { awayMs, exclusion, admission }: {
    readonly awayMs: number;
    readonly exclusion?: ExclusionReason;
    readonly admission?: CallAdmission;
  },
): Promise<void> {
  const backends: ServingTarget[] = [];
  const opened = await startBackend(respondRest);
  backends.push(
    await startBackend(respondAndEnd(() => {
      backends.length = 0;
      setTimeout(() => backends.push(opened), awayMs);
    })),
  );
  const entry = await startEntry({
    backends,
    trySpend: () => true,
    findExclusionReason: () => backends.length === 0 ? exclusion : undefined,
    ...(admission === undefined ? {} : { admission }),
  });
  expectWhole(await call(entry, "/stream/x", { model: "m" }));
}

async function callWithoutReplica(timeToReplicaMs?: number) {
  const backends: ServingTarget[] = [];
  backends.push(
    await startBackend(respondAndEnd(() => backends.length = 0)),
  );
  const entry = await startEntry({
    backends,
    trySpend: () => true,
    admission: createTestAdmission({
      timeToReplicaMs: () => timeToReplicaMs,
    }),
  });
  const startedAtMs = performance.now();
  const answer = await call(entry, "/stream/x", { model: "m" });
  return { ...answer, durationMs: performance.now() - startedAtMs };
}

function expectWhole(
  { status, body, isComplete }: Awaited<ReturnType<typeof call>>,
): void {
  expect([status, body]).toEqual([200, events(0, LAST_EVENT_ID)]);
  expect(isComplete).toEqual(true);
}

/** Sends the first two events, then closes the connection. */
function respondAndEnd(onEnd: () => void): RequestListener {
  return (incoming, response) => {
    response.writeHead(200, createHeaders(idOf(incoming)));
    response.write(events(0, 1));
    setTimeout(() => {
      onEnd();
      incoming.socket.destroy();
    }, SENDING_MS);
  };
}

const rejectAsFull: RequestListener = (incoming, response) => {
  response.writeHead(503, {
    "attempt-id": idOf(incoming),
    "not-executed": "1",
  }).end();
};

/** Sends the events behind the last one that the request names. */
const respondRest: RequestListener = (incoming, response) => {
  const lastId = Number(incoming.headers["last-event-id"] ?? -1);
  response.writeHead(200, createHeaders(idOf(incoming)));
  response.end(events(lastId + 1, LAST_EVENT_ID));
};

function createHeaders(callId: string) {
  return {
    "attempt-id": callId,
    "server-stamp": "s",
    "content-type": "text/event-stream",
  };
}

function events(firstId: number, lastId: number): string {
  return Array.from(
    { length: lastId - firstId + 1 },
    (_, index) => `id: ${firstId + index}\ndata: a\n\n`,
  ).join("");
}
