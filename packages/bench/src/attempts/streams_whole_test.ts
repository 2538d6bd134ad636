import type { StreamFaultKind } from "@celerytray/fakes";
import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { listExpectedTokens, requestCompletion } from "./local_calls.ts";
import { IN_ORDER_ROUTER, startLocalDataPlane } from "./local_data_plane.ts";

const TOKEN_COUNT = 6;
const IDLE_TIMEOUT_MS = 3_000;
const DELIVERY_WAIT_MS = 20;
const ADVANCE_INTERVAL_MS = 500;
const TIMEOUT_OPTIONS = { timeout: 30_000 };
const FAULT_KINDS: readonly StreamFaultKind[] = [
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

describe("streams complete under a fault at every token", () => {
  for (const kind of FAULT_KINDS) {
    it(`${kind} on the first attempt`, async () => {
      for (let atToken = 0; atToken < TOKEN_COUNT; atToken++) {
        await expectComplete({ kind, faultTokens: [atToken], isStream: true });
      }
    });

    it(`${kind} on the first and on the resumed attempt`, async () => {
      for (let first = 0; first < TOKEN_COUNT; first++) {
        for (let second = first; second < TOKEN_COUNT; second += 2) {
          await expectComplete({
            kind,
            faultTokens: [first, second],
            isStream: true,
          });
        }
      }
    });

    it(`${kind} in a response that is not streamed`, async () => {
      for (let atToken = 0; atToken < TOKEN_COUNT; atToken++) {
        await expectComplete({ kind, faultTokens: [atToken], isStream: false });
      }
    });
  }

  it("resumes at the first token that was not delivered", async () => {
    const { firstIndexes } = await requestUnderFault({
      kind: "cut",
      faultTokens: [2, 5],
      isStream: true,
    });
    expect(firstIndexes).toEqual([0, 2, 5]);
  });

  it("skips a duplicate event without another attempt", async () => {
    const { firstIndexes } = await requestUnderFault({
      kind: "duplicate",
      faultTokens: [3],
      isStream: true,
    });
    expect(firstIndexes).toEqual([0]);
  });

  it("reports an oversized event as an error", TIMEOUT_OPTIONS, async () => {
    const result = await requestUnderFault({
      kind: "oversized",
      faultTokens: [2],
      isStream: true,
    });
    expect(result.isComplete).toEqual(false);
    expect(result.text).toInclude('"code":"answer_undeliverable"');
    expect(result.tokens).toEqual(listExpectedTokens("crate", 2));
  });

  it("reports within the stream that no replica is left", async () => {
    const result = await requestUnderFault({
      kind: "cut",
      faultTokens: [2, 3, 4],
      isStream: true,
    });
    expect(result.isComplete).toEqual(false);
    expect(result.text).toInclude('"outcome":"ran"');
    expect(result.tokens).toEqual(listExpectedTokens("crate", 4));
  });

  it("reports an unknown outcome for a request that was cut, then refused", async () => {
    const result = await requestUnderFault({
      kind: "cut",
      faultTokens: [0],
      isStream: true,
      firstClosedIndex: 1,
    });
    expect(result.status).toEqual(503);
    expect(result.outcome).toEqual("unknown");
  });

  it("reports a request that every replica refused as not run", async () => {
    const result = await requestUnderFault({
      kind: "cut",
      faultTokens: [],
      isStream: true,
      firstClosedIndex: 0,
    });
    expect(result.status).toEqual(503);
    expect(result.outcome).toEqual("not-run");
  });
});

interface FaultCase {
  readonly kind: StreamFaultKind;
  /** Token index of the fault on each faulty engine, in order of attempts. */
  readonly faultTokens: readonly number[];
  readonly isStream: boolean;
  /** Index of the first engine that refuses connections. */
  readonly firstClosedIndex?: number;
}

async function expectComplete(fault: FaultCase): Promise<void> {
  const result = await requestUnderFault(fault);
  const tokens = listExpectedTokens("crate", TOKEN_COUNT);
  const expected = fault.isStream ? tokens : [tokens.join("")];
  expect({ fault, tokens: result.tokens, isComplete: result.isComplete })
    .toEqual({
      fault,
      tokens: expected,
      isComplete: true,
    });
}

/**
 * Requests a completion from three engines, tried in order of index. The test
 * clock advances only while a stream is silent, past its idle timeout.
 */
function requestUnderFault(fault: FaultCase) {
  return Effect.runPromise(
    Effect.gen(function* () {
      const context = yield* Effect.context<never>();
      const firstIndexes: number[] = [];
      const skipIdleTimeout = async () => {
        const streamCount = firstIndexes.length;
        await sleep(DELIVERY_WAIT_MS);
        while (firstIndexes.length === streamCount && !isAnswered) {
          await Effect.runPromiseWith(context)(
            TestClock.adjust(IDLE_TIMEOUT_MS),
          );
          await sleep(ADVANCE_INTERVAL_MS);
        }
      };
      let isAnswered = false;
      return yield* Effect.promise(async () => {
        const plane = await startLocalDataPlane({
          engineCount: 3,
          router: IN_ORDER_ROUTER,
          idleTimeoutMs: IDLE_TIMEOUT_MS,
          context,
          // An oversized event ends its stream by its size, not by a timeout.
          onSilent: () => {
            if (fault.kind !== "oversized") void skipIdleTimeout();
          },
          onStream: (firstIndex) => firstIndexes.push(firstIndex),
        });
        for (const [index, atToken] of fault.faultTokens.entries()) {
          await plane.setEngineFaults(index, {
            stream: { kind: fault.kind, atToken },
          });
        }
        for (const engine of plane.engines.slice(fault.firstClosedIndex ?? 3)) {
          await engine.close();
        }
        const result = await requestCompletion(plane, {
          prompt: "crate",
          tokenCount: TOKEN_COUNT,
          isStream: fault.isStream,
        });
        isAnswered = true;
        await plane.close();
        return { ...result, firstIndexes };
      });
    }).pipe(Effect.provide(TestClock.layer())),
  );
}
