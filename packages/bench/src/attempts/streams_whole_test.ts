import type { StreamFaultKind } from "@celerytray/fakes";
import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { askCompletion, expectTokens } from "./local_calls.ts";
import { IN_ORDER, startLocalDataPlane } from "./local_data_plane.ts";

const TOKEN_COUNT = 6;
const IDLE_TIMEOUT_MS = 3_000;
const DELIVERY_MS = 20;
const REPEAT_MS = 500;
const KINDS: readonly StreamFaultKind[] = [
  "cut",
  "silence",
  "half-event",
  "crossed-id",
  "crossed-chunk",
  "duplicate",
  "out-of-order",
  "early-end",
  "close",
  "error",
];

describe("streams are whole under a fault at every token", () => {
  for (const kind of KINDS) {
    it(`${kind} on the first attempt`, async () => {
      for (let atToken = 0; atToken < TOKEN_COUNT; atToken++) {
        await expectWhole({ kind, faultyAt: [atToken], isStream: true });
      }
    });

    it(`${kind} on the first and on the resumed attempt`, async () => {
      for (let first = 0; first < TOKEN_COUNT; first++) {
        for (let second = first; second < TOKEN_COUNT; second += 2) {
          await expectWhole({
            kind,
            faultyAt: [first, second],
            isStream: true,
          });
        }
      }
    });

    it(`${kind} in an answer that is no stream`, async () => {
      for (let atToken = 0; atToken < TOKEN_COUNT; atToken++) {
        await expectWhole({ kind, faultyAt: [atToken], isStream: false });
      }
    });
  }

  it("tells an oversized event as an error", async () => {
    const seen = await ask({
      kind: "oversized",
      faultyAt: [2],
      isStream: true,
    });
    expect(seen.isWhole).toEqual(false);
    expect(seen.text).toInclude('"code":"answer_undeliverable"');
    expect(seen.tokens).toEqual(expectTokens("crate", 2));
  });

  it("tells within the stream that no replica is left", async () => {
    const seen = await ask({
      kind: "cut",
      faultyAt: [2, 3, 4],
      isStream: true,
    });
    expect(seen.isWhole).toEqual(false);
    expect(seen.text).toInclude('"outcome":"ran"');
    expect(seen.tokens).toEqual(expectTokens("crate", 4));
  });

  it("tells a request that was cut, then refused, as perhaps run", async () => {
    const seen = await ask({
      kind: "cut",
      faultyAt: [0],
      isStream: true,
      closedFrom: 1,
    });
    expect(seen.status).toEqual(503);
    expect(seen.outcome).toEqual("unknown");
  });

  it("tells a request that every replica refused as not run", async () => {
    const seen = await ask({
      kind: "cut",
      faultyAt: [],
      isStream: true,
      closedFrom: 0,
    });
    expect(seen.status).toEqual(503);
    expect(seen.outcome).toEqual("not-run");
  });
});

interface FaultCase {
  readonly kind: StreamFaultKind;
  /** Token of the fault on each faulty engine, in the order of attempts. */
  readonly faultyAt: readonly number[];
  readonly isStream: boolean;
  /** Number from which on the engines refuse connections. */
  readonly closedFrom?: number;
}

async function expectWhole(fault: FaultCase): Promise<void> {
  const seen = await ask(fault);
  const tokens = expectTokens("crate", TOKEN_COUNT);
  const expected = fault.isStream ? tokens : [tokens.join("")];
  expect({ fault, tokens: seen.tokens, isWhole: seen.isWhole }).toEqual({
    fault,
    tokens: expected,
    isWhole: true,
  });
}

/** Asks three engines in their order; time moves only past a silence. */
function ask(fault: FaultCase) {
  return Effect.runPromise(
    Effect.gen(function* () {
      const context = yield* Effect.context<never>();
      let streamCount = 0;
      const passSilence = async () => {
        const silentStream = streamCount;
        await sleep(DELIVERY_MS);
        while (streamCount === silentStream && !isOver) {
          await Effect.runPromiseWith(context)(
            TestClock.adjust(IDLE_TIMEOUT_MS),
          );
          await sleep(REPEAT_MS);
        }
      };
      let isOver = false;
      return yield* Effect.promise(async () => {
        const plane = await startLocalDataPlane({
          engineCount: 3,
          router: IN_ORDER,
          idleTimeoutMs: IDLE_TIMEOUT_MS,
          context,
          onSilent: () => void passSilence(),
          onStream: () => streamCount += 1,
        });
        for (const [index, atToken] of fault.faultyAt.entries()) {
          await plane.setEngineFaults(index, {
            stream: { kind: fault.kind, atToken },
          });
        }
        for (const engine of plane.engines.slice(fault.closedFrom ?? 3)) {
          await engine.close();
        }
        const seen = await askCompletion(plane, {
          prompt: "crate",
          tokenCount: TOKEN_COUNT,
          isStream: fault.isStream,
        });
        isOver = true;
        await plane.close();
        return seen;
      });
    }).pipe(Effect.provide(TestClock.layer())),
  );
}
