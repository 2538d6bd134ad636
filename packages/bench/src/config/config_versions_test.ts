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

const COUNT = 9;
const IN_FORCE_MS = 3_000;
const BASE = createSampleConfig();

/** Runs on a clock that the test advances. */
function run(test: (group: VirtualEntries) => Effect.Effect<void, unknown>) {
  const group = new VirtualEntries({ count: COUNT, seed: 7 });
  const all = Effect.gen(function* () {
    yield* group.startAll();
    yield* TestClock.adjust(1_000);
    yield* test(group);
    yield* group.stopAll();
  });
  return Effect.runPromise(all.pipe(Effect.provide(TestClock.layer())));
}

function publish(group: VirtualEntries, count: number) {
  return Effect.gen(function* () {
    const entry = group.get(0);
    const publication = yield* Effect.forkChild(
      group.publish(entry, {
        config: setReplicaCount(BASE, count),
        recordId: `record-${count}`,
      }),
    );
    yield* TestClock.adjust(100);
    return publication;
  });
}

function versions(group: VirtualEntries): number[] {
  return group.ids.map((id) => group.entries.get(id)!.config.current().version);
}

const ALL_AT = (version: number) =>
  Array.from({ length: COUNT }, () => version);

describe("configuration over entry instances", () => {
  it("is in force within 3 s on one that reaches neither the log nor a peer, but is reached", () =>
    run((group) =>
      Effect.gen(function* () {
        yield* publish(group, 1);
        yield* TestClock.adjust(1_000);
        group.get(8).logFaults.isOut = true;
        group.setOutgoing("entry-8", true);
        yield* publish(group, 2);
        yield* TestClock.adjust(IN_FORCE_MS - 100);
        expect(versions(group)).toEqual(ALL_AT(2));
      })
    ));

  it("is in force within 3 s on one that is cut off from the log only", () =>
    run((group) =>
      Effect.gen(function* () {
        yield* publish(group, 1);
        group.get(8).logFaults.isOut = true;
        yield* publish(group, 2);
        yield* TestClock.adjust(IN_FORCE_MS - 100);
        expect(versions(group)).toEqual(ALL_AT(2));
      })
    ));

  it("stays out of readiness after retention, with no snapshot and no peer", () =>
    run((group) =>
      Effect.gen(function* () {
        yield* publish(group, 1);
        group.log.truncate("config", 1);
        group.setIncoming("entry-8", true);
        group.setOutgoing("entry-8", true);
        const entry = yield* group.start("entry-8");
        yield* TestClock.adjust(10_000);
        expect(entry.config.current().version).toEqual(0);
        expect(entry.config.startProblem() ?? "").toInclude(
          "without a snapshot",
        );
        group.cutLinks.clear();
        yield* TestClock.adjust(IN_FORCE_MS);
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
    const ready: boolean[] = [];
    const read = Effect.gen(function* () {
      const stream: ConfigStream = yield* createConfigStream({
        log: new VirtualLog(log),
        onChange: () => ready.push(stream.startProblem() === undefined),
      });
      yield* TestClock.adjust(1_000);
      expect(stream.current().version).toEqual(2_500);
    });
    return Effect.runPromise(
      Effect.scoped(read).pipe(Effect.provide(TestClock.layer())),
    ).then(() => expect(ready).toEqual([false, false, true]));
  });

  it("starts from most peers while the log is out, never from a stale one", () =>
    run((group) =>
      Effect.gen(function* () {
        yield* publish(group, 1);
        group.get(7).logFaults.isOut = true;
        group.setIncoming("entry-7", true);
        group.setOutgoing("entry-7", true);
        yield* publish(group, 2);
        yield* TestClock.adjust(1_000);
        for (const id of group.ids) group.setIncoming(id, true);
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

  it("never goes back and is the same everywhere, whatever fails", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { minLength: 5, maxLength: 25 }),
        (steps) => run((group) => followSteps(group, steps)),
      ),
      { seed: 20261204, numRuns: 40 },
    );
  });
});

type Step =
  | { readonly kind: "publish"; readonly at: number }
  | { readonly kind: "restart"; readonly at: number }
  | { readonly kind: "log"; readonly at: number; readonly isOut: boolean }
  | { readonly kind: "answers"; readonly at: number; readonly isOut: boolean }
  | { readonly kind: "links"; readonly at: number; readonly isOut: boolean }
  | { readonly kind: "truncate" }
  | { readonly kind: "wait"; readonly ms: number };

const at = fc.nat(COUNT - 1);
const isOut = fc.boolean();
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant("publish" as const), at }),
  fc.record({ kind: fc.constant("publish" as const), at }),
  fc.record({ kind: fc.constant("restart" as const), at }),
  fc.record({ kind: fc.constant("log" as const), at, isOut }),
  fc.record({ kind: fc.constant("answers" as const), at, isOut }),
  fc.record({ kind: fc.constant("links" as const), at, isOut }),
  fc.record({ kind: fc.constant("truncate" as const) }),
  fc.record({ kind: fc.constant("wait" as const), ms: fc.nat(3_000) }),
);

function followSteps(group: VirtualEntries, steps: readonly Step[]) {
  return Effect.gen(function* () {
    const lives: VirtualEntry[] = [...group.entries.values()];
    const configs = new Map<number, string>();
    const inForce = new Map<string, number>();
    for (const [index, each] of steps.entries()) {
      if (each.kind === "restart") {
        const id = `entry-${each.at}`;
        lives.push(yield* group.start(id, group.get(each.at).logFaults));
      } else yield* applyStep(group, { step: each, index });
      yield* TestClock.adjust(100);
      checkReady(group, inForce);
    }
    heal(group);
    yield* TestClock.adjust(IN_FORCE_MS + 7_000);
    checkReady(group, inForce);
    for (const { observed } of lives) {
      observed.forEach(({ version, config }, order) => {
        if (order > 0) {
          expect(version).toBeGreaterThan(observed[order - 1]!.version);
        }
        const text = JSON.stringify(config);
        expect(configs.get(version) ?? text).toEqual(text);
        configs.set(version, text);
      });
    }
    const highest = Math.max(0, ...configs.keys());
    expect(versions(group)).toEqual(ALL_AT(highest));
  });
}

/** A ready instance is never behind what it had in force with the log at hand. */
function checkReady(group: VirtualEntries, inForce: Map<string, number>): void {
  for (const { instanceId, config, logFaults } of group.entries.values()) {
    if (config.startProblem() !== undefined) continue;
    const { version } = config.current();
    if (logFaults.isOut !== true) {
      expect(version).toBeGreaterThanOrEqual(inForce.get(instanceId) ?? 0);
    }
    inForce.set(instanceId, version);
  }
}

function heal(group: VirtualEntries): void {
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
      return group.publish(group.get(step.at), {
        config: setReplicaCount(BASE, index + 1),
        recordId: `record-${index}`,
      }).pipe(Effect.ignore, Effect.forkDetach, Effect.asVoid);
    case "log":
      return Effect.sync(() => {
        group.get(step.at).logFaults.isOut = step.isOut;
      });
    case "answers":
      return Effect.sync(() => {
        group.get(step.at).logFaults.losesAnswers = step.isOut;
      });
    case "links":
      return Effect.sync(() =>
        group.setOutgoing(`entry-${step.at}`, step.isOut)
      );
    case "truncate":
      return Effect.sync(() => truncateBelowLive(group));
    case "wait":
      return TestClock.adjust(step.ms);
    case "restart":
      return Effect.void;
  }
}

/** Retention removes what at least one ready instance has folded. */
function truncateBelowLive(group: VirtualEntries): void {
  const folded = [...group.entries.values()].filter(({ config }) =>
    config.startProblem() === undefined
  ).map(({ config }) => config.nextOffset());
  group.log.truncate("config", Math.max(0, ...folded));
}
