import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { createEngineMonitor } from "./engine_monitor.ts";

describe("createEngineMonitor", () => {
  it("dates a status by the start of its reading", async () => {
    const observedAtMs = await Effect.runPromise(
      Effect.scoped(Effect.gen(function* () {
        const monitor = yield* createEngineMonitor({
          intervalMs: 1_000,
          listInstances: () => [{
            instanceId: "a",
            role: "engine",
            address: "a",
            availabilityZone: "kth-a",
            state: "live",
          }],
          engine: {
            sendOrder: () => Effect.void,
            readStatus: () =>
              Effect.succeed({
                instanceId: "a",
                bootId: "b",
                state: "idle" as const,
                runningRequests: 0,
                waitingRequests: 0,
              }).pipe(Effect.delay(900)),
          },
        });
        yield* TestClock.adjust(900);
        return monitor.observations.get("a")?.observedAtMs;
      })).pipe(Effect.provide(TestClock.layer())),
    );
    expect(observedAtMs).toEqual(0);
  });
});
