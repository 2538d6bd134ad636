import { Effect } from "effect";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { ServingTarget } from "./choose_target.ts";
import {
  begin,
  events,
  outcomeOf,
  respondRest,
  whole,
  writeAndBreak,
} from "./test_streams.ts";
import {
  call,
  startBackend,
  startEntry,
  startRawBackend,
} from "./test_entry.ts";

const LAST_ID = 5;
const alive = { isAlive: () => Effect.succeed(true) };
const DEADLINE_MS = 3_000;
const headers = { "deadline-ms": String(DEADLINE_MS) };

function start(
  backends: readonly ServingTarget[],
  trySpend: () => boolean = () => true,
): Promise<number> {
  return startEntry({
    backends,
    trySpend,
    timeoutMs: DEADLINE_MS,
    aliveCheck: alive,
  });
}

// The instances of all these tests live on. The check of whether they do says so,
// but in one test.
describe("a begun stream and the replicas that it may use", () => {
  // BUDGET: three replicas that live, where max_attempts allows two. That one is
  // not in the list (evacuated, draining) doesn't tell that it has ended.
  it("runs at no third one as two that live are not in the list", async () => {
    const ran = new Set<number>();
    const backends: ServingTarget[] = [];
    for (const index of [0, 1, 2]) {
      backends.push(
        await startBackend((incoming, response) => {
          ran.add(index);
          writeAndBreak(() => backends.shift())(incoming, response);
        }),
      );
    }
    const [first, ...later] = backends.splice(0);
    backends.push(first!);
    const entry = await start(backends);
    const answer = call(entry, "/stream/x", headers);
    setTimeout(() => backends.push(...later), 50);
    await answer;
    expect([...ran]).toEqual([0, 1]);
  });

  // BUDGET: one probe that one process misses for 150 ms counts as an end.
  it("runs at no third one as those that live answer no probe", async () => {
    const ran = new Set<number>();
    const backends: ServingTarget[] = [];
    for (const index of [0, 1, 2]) {
      backends.push(
        await startBackend((incoming, response) => {
          ran.add(index);
          writeAndBreak()(incoming, response);
        }),
      );
    }
    const entry = await startEntry({
      backends,
      trySpend: () => true,
      timeoutMs: DEADLINE_MS,
      aliveCheck: { isAlive: () => Effect.succeed(false) },
    });
    await call(entry, "/stream/x", headers);
    expect(ran.size).toEqual(2);
  });

  // LOST: what lives is forgotten with its count, but stays marked as tried.
  it("goes back to its replica after that was unlisted for 100 ms", async () => {
    let requests = 0;
    const backends: ServingTarget[] = [];
    const only = await startBackend((incoming, response) => {
      requests += 1;
      if (requests > 1) respondRest(LAST_ID)(incoming, response);
      else {
        writeAndBreak(() => {
          backends.length = 0;
          setTimeout(() => backends.push(only), 100);
        })(incoming, response);
      }
    });
    backends.push(only);
    const answer = call(await start(backends), "/stream/x", headers);
    expect(await outcomeOf(answer)).toEqual(whole(LAST_ID));
  });

  // LOST: a later run overwrites that the first one had written.
  it("goes back to its replica that has reset one connection since", async () => {
    let requests = 0;
    const backends = [
      await startBackend((incoming, response) => {
        requests += 1;
        if (requests === 1) writeAndBreak()(incoming, response);
        else if (requests === 2) incoming.socket.resetAndDestroy();
        else respondRest(LAST_ID)(incoming, response);
      }),
    ];
    const answer = call(await start(backends), "/stream/x", headers);
    backends.push(
      await startRawBackend((socket) => {
        socket.once("data", () => socket.resetAndDestroy());
      }),
    );
    expect(await outcomeOf(answer)).toEqual(whole(LAST_ID));
  });

  // LOST: the check knows that it lives, yet it counts as what may have crashed.
  it("goes back to one that lives, although it wrote for 30 ms only", async () => {
    let requests = 0;
    const backends = [
      await startBackend((incoming, response) => {
        requests += 1;
        if (requests > 1) return respondRest(LAST_ID)(incoming, response);
        begin(incoming, response);
        response.write(events(0, 1));
        setTimeout(() => incoming.socket.destroy(), 30);
      }),
    ];
    const answer = call(await start(backends), "/stream/x", headers);
    expect(await outcomeOf(answer)).toEqual(whole(LAST_ID));
  });

  // LOST: `tried` knows the epoch alone, which is 0 for every plain instance.
  it("goes on at a plain instance that was started anew", async () => {
    const backends: ServingTarget[] = [];
    let requests = 0;
    const only = await startBackend((incoming, response) => {
      requests += 1;
      if (requests > 1) respondRest(LAST_ID)(incoming, response);
      else {
        writeAndBreak(() => {
          backends.length = 0;
          setTimeout(() => backends.push({ ...only, bornAtMs: 2 }), 300);
        })(incoming, response);
      }
    });
    backends.push({ ...only, bornAtMs: 1 });
    const answer = call(await start(backends), "/stream/x", headers);
    expect(await outcomeOf(answer)).toEqual(whole(LAST_ID));
  });

  // BUDGET: what no replica gets is no repeat, but each try draws on the budget
  // that all processes share.
  it("pays once for a replica that accepts no connection", async () => {
    let spent = 0;
    const backends: ServingTarget[] = [];
    backends.push(
      await startBackend(writeAndBreak(() => {
        backends.length = 0;
        backends.push({
          instanceId: "i-closed",
          address: "127.0.0.1:1",
          zone: "z",
          slots: 4,
          epoch: 0,
        });
      })),
    );
    const entry = await start(backends, () => {
      spent += 1;
      return true;
    });
    await call(entry, "/stream/x", headers);
    expect(spent).toEqual(1);
  });
});
