import { FakeLog } from "@celerytray/fakes";
import { type ConfigStream, createConfigStream } from "celerytray";
import { expect } from "earl";
import { Effect } from "effect";
import { TestClock } from "effect/testing";
import fc from "fast-check";
import { describe, it } from "node:test";
import { createSampleConfig, setReplicaCount } from "./sample_config.ts";
import { VirtualEntries, type VirtualEntry } from "./virtual_entries.ts";
import { VirtualLog } from "./virtual_log.ts";

const ENTRY_COUNT = 9;
const MAX_IN_FORCE_DELAY_MS = 3_000;
const BASE = createSampleConfig();

/** Runs a test in virtual time, which the test advances. */
function runTest(
  test: (group: VirtualEntries) => Effect.Effect<void, unknown>,
) {
  const group = new VirtualEntries({ count: ENTRY_COUNT, seed: 7 });
  const testWithTime = Effect.gen(function* () {
    yield* group.startAll();
    yield* TestClock.adjust(1_000);
    yield* test(group);
    yield* group.stopAll();
  });
  return Effect.runPromise(
    testWithTime.pipe(Effect.provide(TestClock.layer())),
  );
}

function publishReplicaCount(group: VirtualEntries, replicaCount: number) {
  return Effect.gen(function* () {
    const entry = group.get(0);
    const publication = yield* Effect.forkChild(
      group.publish(entry, {
        config: setReplicaCount(BASE, replicaCount),
        recordId: `record-${replicaCount}`,
      }),
    );
    yield* TestClock.adjust(100);
    return publication;
  });
}

function listVersions(group: VirtualEntries): number[] {
  return group.ids.map((id) => group.entries.get(id)!.config.current().version);
}

const repeatVersion = (version: number) =>
  Array.from({ length: ENTRY_COUNT }, () => version);

describe("configuration over entry instances", () => {
  it("is in force within 3 s on an instance that peers reach but that reaches neither the log nor a peer", () =>
    runTest((group) =>
      Effect.gen(function* () {
        yield* publishReplicaCount(group, 1);
        yield* TestClock.adjust(1_000);
        group.get(8).logFaults.isOut = true;
        group.setOutgoingCut("entry-8", true);
        yield* publishReplicaCount(group, 2);
        yield* TestClock.adjust(MAX_IN_FORCE_DELAY_MS - 100);
        expect(listVersions(group)).toEqual(repeatVersion(2));
      })
    ));

  it("is in force within 3 s on an instance that is cut off from the log only", () =>
    runTest((group) =>
      Effect.gen(function* () {
        yield* publishReplicaCount(group, 1);
        group.get(8).logFaults.isOut = true;
        yield* publishReplicaCount(group, 2);
        yield* TestClock.adjust(MAX_IN_FORCE_DELAY_MS - 100);
        expect(listVersions(group)).toEqual(repeatVersion(2));
      })
    ));

  it("is not ready when retention removed records and it has no snapshot and no peer", () =>
    runTest((group) =>
      Effect.gen(function* () {
        yield* publishReplicaCount(group, 1);
        group.log.truncate("config", 1);
        group.setIncomingCut("entry-8", true);
        group.setOutgoingCut("entry-8", true);
        const entry = yield* group.start("entry-8");
        yield* TestClock.adjust(10_000);
        expect(entry.config.current().version).toEqual(0);
        expect(entry.config.startProblem() ?? "").toInclude(
          "without a snapshot",
        );
        group.cutLinks.clear();
        yield* TestClock.adjust(MAX_IN_FORCE_DELAY_MS);
        expect(entry.config.current().version).toEqual(1);
        expect(entry.config.startProblem()).toEqual(undefined);
      })
    ));

  it("is not ready before it has read the log to its end", () => {
    const log = new FakeLog();
    const records = Array.from({ length: 2_500 }, (_, index) => ({
      kind: "config",
      recordId: `record-${index}`,
      refinesVersion: index,
      patch: { availabilityZones: { [`zone-${index % 9}`]: {} } },
      author: "test",
      publishedAtMs: 0,
    }));
    log.append("config", { records, nowMs: 0 });
    const readiness: boolean[] = [];
    const readStream = Effect.gen(function* () {
      const stream: ConfigStream = yield* createConfigStream({
        log: new VirtualLog(log),
        onChange: () => readiness.push(stream.startProblem() === undefined),
      });
      yield* TestClock.adjust(1_000);
      expect(stream.current().version).toEqual(2_500);
    });
    return Effect.runPromise(
      Effect.scoped(readStream).pipe(Effect.provide(TestClock.layer())),
    ).then(() => expect(readiness).toEqual([false, false, true]));
  });

  it("starts from a majority of peers during a log outage, never from one stale peer", () =>
    runTest((group) =>
      Effect.gen(function* () {
        yield* publishReplicaCount(group, 1);
        group.get(7).logFaults.isOut = true;
        group.setIncomingCut("entry-7", true);
        group.setOutgoingCut("entry-7", true);
        yield* publishReplicaCount(group, 2);
        yield* TestClock.adjust(1_000);
        for (const id of group.ids) group.setIncomingCut(id, true);
        group.cutLinks.delete("entry-7>entry-8");
        group.cutLinks.delete("entry-8>entry-7");
        const entry = yield* group.start("entry-8", { isOut: true });
        yield* TestClock.adjust(10_000);
        expect(entry.config.current().version).toEqual(1);
        expect(entry.config.startProblem() === undefined).toEqual(false);
        group.cutLinks.clear();
        yield* TestClock.adjust(10_000);
        expect(entry.config.current().version).toEqual(2);
        expect(entry.config.startProblem()).toEqual(undefined);
      })
    ));

  it("never goes back to a lower version and is the same everywhere under any faults", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { minLength: 5, maxLength: 25 }),
        (steps) => runTest((group) => runSteps(group, steps)),
      ),
      { seed: 20261204, numRuns: 40 },
    );
  });
});

type Step =
  | { readonly kind: "publish"; readonly entryIndex: number }
  | { readonly kind: "restart"; readonly entryIndex: number }
  | {
    readonly kind: "log";
    readonly entryIndex: number;
    readonly isOut: boolean;
  }
  | {
    readonly kind: "answers";
    readonly entryIndex: number;
    readonly isOut: boolean;
  }
  | {
    readonly kind: "links";
    readonly entryIndex: number;
    readonly isOut: boolean;
  }
  | { readonly kind: "truncate" }
  | { readonly kind: "wait"; readonly ms: number };

const entryIndex = fc.nat(ENTRY_COUNT - 1);
const isOut = fc.boolean();
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant("publish" as const), entryIndex }),
  fc.record({ kind: fc.constant("publish" as const), entryIndex }),
  fc.record({ kind: fc.constant("restart" as const), entryIndex }),
  fc.record({ kind: fc.constant("log" as const), entryIndex, isOut }),
  fc.record({ kind: fc.constant("answers" as const), entryIndex, isOut }),
  fc.record({ kind: fc.constant("links" as const), entryIndex, isOut }),
  fc.record({ kind: fc.constant("truncate" as const) }),
  fc.record({ kind: fc.constant("wait" as const), ms: fc.nat(3_000) }),
);

function runSteps(group: VirtualEntries, steps: readonly Step[]) {
  return Effect.gen(function* () {
    const incarnations: VirtualEntry[] = [...group.entries.values()];
    const configs = new Map<number, string>();
    const readyVersions = new Map<string, number>();
    for (const [index, current] of steps.entries()) {
      if (current.kind === "restart") {
        const id = `entry-${current.entryIndex}`;
        incarnations.push(
          yield* group.start(id, group.get(current.entryIndex).logFaults),
        );
      } else yield* applyStep(group, { step: current, index });
      yield* TestClock.adjust(100);
      checkReady(group, readyVersions);
    }
    clearFaults(group);
    yield* TestClock.adjust(MAX_IN_FORCE_DELAY_MS + 7_000);
    checkReady(group, readyVersions);
    for (const { observedVersions } of incarnations) {
      observedVersions.forEach(({ version, config }, observedIndex) => {
        if (observedIndex > 0) {
          expect(version).toBeGreaterThan(
            observedVersions[observedIndex - 1]!.version,
          );
        }
        const text = JSON.stringify(config);
        expect(configs.get(version) ?? text).toEqual(text);
        configs.set(version, text);
      });
    }
    const latestVersion = Math.max(0, ...configs.keys());
    expect(listVersions(group)).toEqual(repeatVersion(latestVersion));
  });
}

/** Checks that no ready instance that reaches the log goes back to a lower version. */
function checkReady(
  group: VirtualEntries,
  readyVersions: Map<string, number>,
): void {
  for (const { instanceId, config, logFaults } of group.entries.values()) {
    if (config.startProblem() !== undefined) continue;
    const { version } = config.current();
    if (logFaults.isOut !== true) {
      expect(version).toBeGreaterThanOrEqual(
        readyVersions.get(instanceId) ?? 0,
      );
    }
    readyVersions.set(instanceId, version);
  }
}

function clearFaults(group: VirtualEntries): void {
  group.cutLinks.clear();
  for (const { logFaults } of group.entries.values()) {
    logFaults.isOut = false;
    logFaults.losesAnswers = false;
  }
}

function applyStep(
  group: VirtualEntries,
  { step, index }: { readonly step: Step; readonly index: number },
): Effect.Effect<void> {
  switch (step.kind) {
    case "publish":
      return group.publish(group.get(step.entryIndex), {
        config: setReplicaCount(BASE, index + 1),
        recordId: `record-${index}`,
      }).pipe(Effect.ignore, Effect.forkDetach, Effect.asVoid);
    case "log":
      return Effect.sync(() => {
        group.get(step.entryIndex).logFaults.isOut = step.isOut;
      });
    case "answers":
      return Effect.sync(() => {
        group.get(step.entryIndex).logFaults.losesAnswers = step.isOut;
      });
    case "links":
      return Effect.sync(() =>
        group.setOutgoingCut(`entry-${step.entryIndex}`, step.isOut)
      );
    case "truncate":
      return Effect.sync(() => truncateFoldedRecords(group));
    case "wait":
      return TestClock.adjust(step.ms);
    case "restart":
      return Effect.void;
  }
}

/** Removes the records that at least one ready instance has folded, as retention may. */
function truncateFoldedRecords(group: VirtualEntries): void {
  const foldedOffsets = [...group.entries.values()].filter(({ config }) =>
    config.startProblem() === undefined
  ).map(({ config }) => config.nextOffset());
  group.log.truncate("config", Math.max(0, ...foldedOffsets));
}
