import type { ConfigSet } from "@celerytray/schema";
import {
  ConfigConflict,
  ConfigOutcomeUnknown,
  type PublishedConfig,
} from "celerytray";
import { expect } from "earl";
import { Effect, Exit, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";
import { createSampleConfig, setReplicaCount } from "./sample_config.ts";
import { VirtualEntries } from "./virtual_entries.ts";

const BASE = createSampleConfig();

function runTest(
  test: (group: VirtualEntries) => Effect.Effect<void, unknown>,
): Promise<void> {
  const group = new VirtualEntries({ count: 3, seed: 3 });
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

interface Edit {
  readonly entryIndex: number;
  readonly author: string;
  readonly config: ConfigSet;
}

/** Publishes all edits concurrently, each based on its entry's current version. */
function publishConcurrently(group: VirtualEntries, edits: readonly Edit[]) {
  return Effect.gen(function* () {
    const fibers = [];
    for (const { entryIndex, author, config } of edits) {
      const publication = group.publish(group.get(entryIndex), {
        author,
        config,
        recordId: `by-${author}`,
        refinesVersion: group.get(entryIndex).config.current().version,
      });
      fibers.push(yield* Effect.forkChild(Effect.exit(publication)));
    }
    yield* TestClock.adjust(10_000);
    const exits: Exit.Exit<PublishedConfig, unknown>[] = [];
    for (const fiber of fibers) exits.push(yield* Fiber.join(fiber));
    return exits;
  });
}

function findFailure(exit: Exit.Exit<unknown, unknown>): unknown {
  return Exit.match(exit, {
    onSuccess: () => undefined,
    onFailure: (cause) =>
      cause.reasons.map((reason) =>
        "error" in reason ? reason.error : reason
      )[0],
  });
}

describe("publication by several operators", () => {
  it("accepts one of two concurrent edits and reports its change to the other author", () =>
    runTest((group) =>
      Effect.gen(function* () {
        yield* publishConcurrently(group, [{
          entryIndex: 0,
          author: "base",
          config: BASE,
        }]);
        const [first, second] = yield* publishConcurrently(group, [
          { entryIndex: 1, author: "anna", config: setReplicaCount(BASE, 20) },
          { entryIndex: 2, author: "bina", config: setReplicaCount(BASE, 30) },
        ]);
        expect(Exit.isSuccess(first!)).toEqual(true);
        const conflict = findFailure(second!) as ConfigConflict;
        expect(conflict instanceof ConfigConflict).toEqual(true);
        expect(conflict.currentAuthor).toEqual("anna");
        expect(conflict.message).toInclude(
          "version 2 by anna: services.service-0.replicaCount = 20",
        );
        for (const id of group.ids) {
          const { version, config } = group.entries.get(id)!.config.current();
          expect(version).toEqual(2);
          expect(config).toEqual(setReplicaCount(BASE, 20));
        }
      })
    ));

  it("resolves a publication whose append response was lost", () =>
    runTest((group) =>
      Effect.gen(function* () {
        group.get(0).logFaults.losesAnswers = true;
        const [exit] = yield* publishConcurrently(group, [
          { entryIndex: 0, author: "anna", config: BASE },
        ]);
        expect(exit).toEqual(Exit.succeed({ version: 1, changed: true }));
      })
    ));

  it("reports an unknown outcome within 6 s when the response is lost and the log fails", () =>
    runTest((group) =>
      Effect.gen(function* () {
        group.get(0).logFaults.isOutAfterAppend = true;
        for (const id of group.ids) {
          if (id !== "entry-0") group.entries.get(id)!.logFaults.isOut = true;
        }
        const publication = yield* Effect.forkChild(Effect.exit(
          group.publish(group.get(0), { config: BASE, recordId: "lost" }),
        ));
        yield* TestClock.adjust(6_000);
        expect(group.log.nextOffset("config")).toEqual(1);
        const failure = findFailure(yield* Fiber.join(publication));
        expect(failure instanceof ConfigOutcomeUnknown).toEqual(true);
      })
    ));

  it("fails within 100 ms during a log outage", () =>
    runTest((group) =>
      Effect.gen(function* () {
        group.get(0).logFaults.isOut = true;
        const publication = yield* Effect.forkChild(Effect.exit(
          group.publish(group.get(0), { config: BASE, recordId: "out" }),
        ));
        yield* TestClock.adjust(100);
        const failure = findFailure(yield* Fiber.join(publication)) as {
          readonly _tag: string;
        };
        expect(failure._tag).toEqual("LogUnavailable");
      })
    ));
});
