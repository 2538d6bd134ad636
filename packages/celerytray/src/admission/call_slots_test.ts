import { expect } from "earl";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { CallSlots, type SlotCall } from "./call_slots.ts";

const SERVICE_MS = 1_000;

function createCall(firstTokenDeadlineMs: number): SlotCall {
  return {
    service: "drafter",
    organisationName: "a",
    weight: 1,
    priority: 0,
    arrivedAtMs: 0,
    firstTokenDeadlineMs,
  };
}

function runTest(test: Effect.Effect<void, unknown>): Promise<void> {
  return Effect.runPromise(test.pipe(Effect.provide(TestClock.layer())));
}

describe("CallSlots", () => {
  it("refuses a call at once, without running it, if it would be late", () =>
    runTest(Effect.gen(function* () {
      const slots = new CallSlots({ slotCountOf: () => 1 });
      let runs = 0;
      const body = Effect.andThen(
        Effect.sync(() => runs += 1),
        Effect.sleep(SERVICE_MS),
      );
      yield* Effect.forkChild(slots.run(createCall(5_000), body));
      yield* Effect.yieldNow;
      const refused = yield* Effect.flip(slots.run(createCall(500), body));
      expect(refused.reason).toEqual("overloaded");
      expect(refused.retryAfterMs > 0).toEqual(true);
      expect(runs).toEqual(1);
    })));

  it("refuses a waiting call at its deadline, without running it", () =>
    runTest(Effect.gen(function* () {
      const slots = new CallSlots({ slotCountOf: () => 1 });
      let runs = 0;
      const never = Effect.andThen(
        Effect.sync(() => runs += 1),
        Effect.never,
      );
      yield* Effect.forkChild(slots.run(createCall(5_000), never));
      yield* Effect.yieldNow;
      const waiting = yield* Effect.forkChild(
        Effect.flip(slots.run(createCall(2_000), never)),
      );
      yield* TestClock.adjust(1_999);
      expect(waiting.pollUnsafe()).toEqual(undefined);
      yield* TestClock.adjust(1);
      const refused = yield* Fiber.join(waiting);
      expect(refused.reason).toEqual("overloaded");
      expect(runs).toEqual(1);
    })));

  it("passes the slot of a caller that left to the next call", () =>
    runTest(Effect.gen(function* () {
      const slots = new CallSlots({ slotCountOf: () => 1 });
      const first = yield* Effect.forkChild(
        slots.run(createCall(5_000), Effect.never),
      );
      yield* Effect.yieldNow;
      const second = yield* Effect.forkChild(
        slots.run(createCall(5_000), Effect.succeed("served")),
      );
      yield* Effect.yieldNow;
      yield* Fiber.interrupt(first);
      expect(yield* Fiber.join(second)).toEqual("served");
    })));
});
