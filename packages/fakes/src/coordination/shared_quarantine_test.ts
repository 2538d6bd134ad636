import { InstanceSilent, type LossSources } from "celerytray";
import { expect } from "earl";
import { Effect, type Scope } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { Right } from "purify-ts";
import { FakeKeyedStore } from "../store/index.ts";
import { endProcess } from "./coordinated_process.ts";
import {
  createSimulatedCluster,
  type SimulatedCluster,
  STEP_MS,
} from "./simulated_cluster.ts";

const SEED = 53;
const START_MS = 9_000;
/** The users' bound on the time from the fifth crash to its last request. */
const BOUND_MS = 3_000;
const CRASH_INTERVAL_MS = 400;
const CRASHES = 3;
const BORN_AT_MS = 1_700_000_000_000;
const DEADLY_PARTS = ["first", "deadly"];

// Guards against poison prompts that reach replicas again because a process did
// not learn of their quarantine, or because the leader or all processes ended.
describe("the quarantine of a poison prompt", () => {
  for (const size of [9, 40]) {
    it(`reaches all of ${size} processes in time`, () =>
      run(
        Effect.gen(function* () {
          const cluster = yield* createSimulatedCluster({ seed: SEED, size });
          yield* advance(START_MS);
          yield* crashReplicas(cluster);
          yield* advance(BOUND_MS - CRASH_INTERVAL_MS);
          expectQuarantined(cluster);
        }),
      ));
  }

  // Guards against what all prompts share coming into quarantine for good because
  // instances that are full, and live, were reported as lost.
  it("does not come of losses of instances that live", () =>
    run(
      Effect.gen(function* () {
        const losses = createLosses(() =>
          Effect.succeed({ pace: Right(1), isLeaving: false })
        );
        const options = { seed: SEED, size: 9, losses };
        const cluster = yield* createSimulatedCluster(options);
        yield* advance(START_MS);
        yield* crashReplicas(cluster);
        yield* advance(BOUND_MS);
        expectClear(cluster);
        endProcess(cluster.findLeader()!, "killed");
        yield* advance(START_MS);
        expectClear(cluster);
      }),
    ));

  it("comes in time of instances that are listed and refuse connections", () =>
    run(
      Effect.gen(function* () {
        const losses = createLosses(() =>
          Effect.fail(
            new InstanceSilent({ message: "refused", reason: "refused" }),
          )
        );
        const options = { seed: SEED, size: 9, losses };
        const cluster = yield* createSimulatedCluster(options);
        yield* advance(START_MS);
        yield* crashReplicas(cluster);
        yield* advance(BOUND_MS - CRASH_INTERVAL_MS);
        expectQuarantined(cluster);
      }),
    ));

  it("outlasts the leader, even if it ended right after the crashes", () =>
    run(
      Effect.gen(function* () {
        const cluster = yield* createSimulatedCluster({ seed: SEED, size: 9 });
        yield* advance(START_MS);
        yield* crashReplicas(cluster);
        endProcess(cluster.findLeader()!, "killed");
        yield* advance(START_MS);
        expectQuarantined(cluster);
      }),
    ));

  it("outlasts all processes", () => {
    const store = new FakeKeyedStore();
    const options = { seed: SEED, size: 5, store };
    return run(
      Effect.gen(function* () {
        const cluster = yield* createSimulatedCluster(options);
        yield* advance(START_MS);
        yield* crashReplicas(cluster);
        yield* advance(BOUND_MS);
        for (const process of cluster.processes) endProcess(process, "killed");
        const restarted = yield* createSimulatedCluster(options);
        yield* advance(START_MS);
        expectQuarantined(restarted);
      }),
    );
  });

  it("ends at all processes when the operator releases the part", () =>
    run(
      Effect.gen(function* () {
        const cluster = yield* createSimulatedCluster({ seed: SEED, size: 9 });
        yield* advance(START_MS);
        yield* crashReplicas(cluster);
        yield* advance(BOUND_MS);
        for (const { quarantine } of cluster.processes) {
          yield* advance(CRASH_INTERVAL_MS);
          quarantine.release("deadly", 7);
        }
        yield* advance(BOUND_MS);
        const verdicts = assess(cluster);
        expect(verdicts.every((kind) => kind === "clear")).toEqual(true);
      }),
    ));
});

/** Loses three replicas, each at the requests of another process. */
function crashReplicas(cluster: SimulatedCluster): Effect.Effect<void> {
  return Effect.gen(function* () {
    const followers = cluster.processes.filter((process) =>
      process !== cluster.findLeader()
    );
    for (
      const [index, { quarantine }] of [...followers.entries()].slice(
        0,
        CRASHES,
      )
    ) {
      const instanceId = `i${index}`;
      const attempt = {
        causes: DEADLY_PARTS,
        isStream: true,
        instanceId,
        incarnation: `${instanceId} ${BORN_AT_MS}`,
      };
      quarantine.noteLost(attempt, cluster.nowMs());
      for (const process of followers) {
        const safe = { causes: ["first", "sound"] };
        process.quarantine.noteSafe(safe, cluster.nowMs() + 1);
      }
      yield* advance(CRASH_INTERVAL_MS);
    }
  });
}

/** All instances are listed, in the life that is reported as lost. */
function createLosses(probe: LossSources["probe"]): LossSources {
  return {
    isListLoaded: () => true,
    findInstance: () => ({ address: "a", bornAtMs: BORN_AT_MS }),
    probe,
  };
}

/** A part may be suspected: its requests are sent where they harm least. */
function expectClear(cluster: SimulatedCluster): void {
  const verdicts = assess(cluster);
  expect(verdicts.length > 0).toEqual(true);
  expect(
    verdicts.filter((kind) => kind === "quarantined" || kind === "held"),
  ).toEqual([]);
}

function assess(cluster: SimulatedCluster): readonly string[] {
  return cluster.processes.filter(({ state }) => state === "running").map((
    { quarantine },
  ) => quarantine.assess(DEADLY_PARTS, cluster.nowMs()).kind);
}

function expectQuarantined(cluster: SimulatedCluster): void {
  const verdicts = assess(cluster);
  expect(verdicts.length > 0).toEqual(true);
  expect(verdicts.filter((kind) => kind !== "quarantined")).toEqual([]);
}

function run(effect: Effect.Effect<void, never, Scope.Scope>) {
  return Effect.runPromise(
    Effect.scoped(effect).pipe(Effect.provide(TestClock.layer())),
  );
}

function advance(durationMs: number): Effect.Effect<void> {
  return Effect.forEach(
    Array.from({ length: Math.ceil(durationMs / STEP_MS) }),
    () => TestClock.adjust(STEP_MS),
    { discard: true },
  );
}
