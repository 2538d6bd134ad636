import { expect } from "earl";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { it } from "node:test";
import { keepRunning } from "./keep_running.ts";

it("restarts a loop after an unexpected error and logs it", async () => {
  const lines: unknown[] = [];
  let starts = 0;
  const loop = Effect.suspend(() => {
    starts += 1;
    if (starts < 3) throw new Error("Malformed message");
    return Effect.never;
  });
  await Effect.runPromise(
    Effect.gen(function* () {
      const fiber = yield* Effect.forkChild(
        keepRunning(loop, {
          name: "follow",
          record: (event, fields) => lines.push([event, fields]),
        }),
      );
      yield* TestClock.adjust(1_000);
      yield* Fiber.interrupt(fiber);
    }).pipe(Effect.provide(TestClock.layer())),
  );
  expect(starts).toEqual(3);
  expect(lines.length).toEqual(2);
  expect(JSON.stringify(lines[0])).toInclude("Malformed message");
});

it("ends an interrupted loop without a log entry", async () => {
  const lines: unknown[] = [];
  await Effect.runPromise(
    Effect.gen(function* () {
      const fiber = yield* Effect.forkChild(
        keepRunning(Effect.never, {
          name: "follow",
          record: (event) => lines.push(event),
        }),
      );
      yield* TestClock.adjust(1_000);
      yield* Fiber.interrupt(fiber);
    }).pipe(Effect.provide(TestClock.layer())),
  );
  expect(lines).toEqual([]);
});
