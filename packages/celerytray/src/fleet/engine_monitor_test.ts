import type { EngineStatus, Instance } from "@celerytray/schema";
import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { EngineUnavailable } from "../backends/index.ts";
import { createEngineMonitor } from "./engine_monitor.ts";

const READ_TIMEOUT_MS = 1_000;
const SILENT_ENGINES = 200;
/** Two and a half polling intervals. */
const MAX_AGE_MS = 2_500;

describe("createEngineMonitor", () => {
  it("reads other engines on time while one domain is silent", async () => {
    const ages = await Effect.runPromise(
      Effect.scoped(Effect.gen(function* () {
        const monitor = yield* createEngineMonitor({
          intervalMs: 1_000,
          listInstances: () => [
            ...Array.from(
              { length: SILENT_ENGINES },
              (_, index) => createInstance(`silent-${index}`),
            ),
            createInstance("a"),
          ],
          engine: {
            sendOrder: () => Effect.void,
            readStatus: (address) =>
              address === "a" ? Effect.succeed(createStatus("a")) : SILENCE,
          },
        });
        const observedAges: number[] = [];
        for (let atMs = 100; atMs <= 20_000; atMs += 100) {
          yield* TestClock.adjust(100);
          const seenAtMs = monitor.observations.get("a")?.observedAtMs ?? 0;
          observedAges.push(atMs - seenAtMs);
        }
        return observedAges;
      })).pipe(Effect.provide(TestClock.layer())),
    );
    expect(Math.max(...ages)).toBeLessThanOrEqual(MAX_AGE_MS);
  });

  it("sets the observation time to the start of the reading", async () => {
    const observedAtMs = await Effect.runPromise(
      Effect.scoped(Effect.gen(function* () {
        const monitor = yield* createEngineMonitor({
          intervalMs: 1_000,
          listInstances: () => [createInstance("a")],
          engine: {
            sendOrder: () => Effect.void,
            readStatus: () =>
              Effect.succeed(createStatus("a")).pipe(Effect.delay(900)),
          },
        });
        yield* TestClock.adjust(900);
        return monitor.observations.get("a")?.observedAtMs;
      })).pipe(Effect.provide(TestClock.layer())),
    );
    expect(observedAtMs).toEqual(0);
  });
});

const SILENCE = Effect.never.pipe(
  Effect.timeoutOrElse({
    duration: READ_TIMEOUT_MS,
    orElse: () => Effect.fail(new EngineUnavailable({ message: "Silent" })),
  }),
);

function createInstance(instanceId: string): Instance {
  return {
    instanceId,
    role: "engine",
    address: instanceId,
    availabilityZone: "kth-a",
    state: "live",
  };
}

function createStatus(instanceId: string): EngineStatus {
  return {
    instanceId,
    bootId: "b",
    state: "idle",
    runningRequests: 0,
    waitingRequests: 0,
  };
}
