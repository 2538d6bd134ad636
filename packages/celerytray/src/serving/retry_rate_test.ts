import { Effect } from "effect";
import { expect } from "earl";
import { describe, it } from "node:test";
import { HEADER_NAMES } from "../platform/words.ts";
import {
  outcomeOf,
  reject,
  respondRest,
  whole,
  writeAndBreak,
} from "./test_streams.ts";
import { call, startBackend, startEntry } from "./test_entry.ts";
import { answer, startCutEntry } from "./test_relay.ts";

const DEADLINE_MS = 4_000;
const OTHERS = 6;
/** Two a second, and one to begin with. */
const MAX_SPENT = 9;
/** Time at which the second stream begins, while the first one waits. */
const LATER_MS = 2_000;
const LAST_ID = 5;
const headers = { "deadline-ms": String(DEADLINE_MS) };
const aliveCheck = { isAlive: () => Effect.succeed(true) };

// BUDGET: one stream asks each of the others every half second until its deadline,
// and each time draws on the budget that all processes share.
describe("a begun stream that waits", () => {
  it("draws twice a second on the budget beside six full replicas", async () => {
    let spent = 0;
    const backends = [
      await startBackend((incoming, response) => {
        if (spent > 0) reject(incoming, response);
        else writeAndBreak()(incoming, response);
      }),
    ];
    const entry = await startEntry({
      backends,
      timeoutMs: DEADLINE_MS,
      aliveCheck,
      trySpend: () => {
        spent += 1;
        return true;
      },
    });
    const ended = call(entry, "/stream/x", headers);
    for (let index = 1; index < OTHERS; index++) {
      backends.push(await startBackend(reject));
    }
    await ended;
    expect(Math.max(spent, MAX_SPENT)).toEqual(MAX_SPENT);
  });

  it("draws twice a second on the budget beside six gateways", async () => {
    let spent = 0;
    let begun = 0;
    const ports = await Promise.all(
      Array.from({ length: OTHERS }, async () => {
        const gateway = await startBackend((incoming, response) => {
          begun += 1;
          if (begun === 1) return writeAndBreak()(incoming, response);
          answer(503, { [HEADER_NAMES.ownAnswer]: "1" })(incoming, response);
        });
        return Number(gateway.address.split(":")[1]);
      }),
    );
    const entry = await startCutEntry(ports, {
      timeoutMs: DEADLINE_MS,
      aliveCheck,
      trySpend: () => {
        spent += 1;
        return true;
      },
    });
    await call(entry, "/stream/x", headers);
    expect(Math.max(spent, MAX_SPENT)).toEqual(MAX_SPENT);
  });

  // LOST: what the one draws for nothing, the other lacks for its one repeat.
  it("leaves the budget to a stream that has a free replica", async () => {
    let left = 20;
    const trySpend = () => left > 0 && left-- > 0;
    const common = { timeoutMs: DEADLINE_MS, aliveCheck, trySpend };
    let hasBegun = false;
    const full = [
      await startBackend((incoming, response) => {
        if (hasBegun) return reject(incoming, response);
        hasBegun = true;
        writeAndBreak()(incoming, response);
      }),
    ];
    const free = [await startBackend(writeAndBreak())];
    const one = await startEntry({ ...common, backends: full });
    const other = await startEntry({ ...common, backends: free });
    const waiting = call(one, "/stream/x", headers);
    for (let index = 1; index < OTHERS; index++) {
      full.push(await startBackend(reject));
    }
    await new Promise((resolve) => setTimeout(resolve, LATER_MS));
    const ended = outcomeOf(call(other, "/stream/x", headers));
    free.push(await startBackend(respondRest(LAST_ID)));
    expect(await ended).toEqual(whole(LAST_ID));
    await waiting;
  });
});
