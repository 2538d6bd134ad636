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

function run(
  test: (group: VirtualEntries) => Effect.Effect<void, unknown>,
): Promise<void> {
  const group = new VirtualEntries({ count: 3, seed: 3 });
  const all = Effect.gen(function* () {
    yield* group.startAll();
    yield* TestClock.adjust(1_000);
    yield* test(group);
    yield* group.stopAll();
  });
  return Effect.runPromise(all.pipe(Effect.provide(TestClock.layer())));
}

interface Edit {
  readonly at: number;
  readonly author: string;
  readonly config: ConfigSet;
}

/** Starts all edits on the same version and returns how they ended. */
function race(group: VirtualEntries, edits: readonly Edit[]) {
  return Effect.gen(function* () {
    const fibers = [];
    for (const { at, author, config } of edits) {
      const publication = group.publish(group.get(at), {
        author,
        config,
        recordId: `by-${author}`,
        refinesVersion: group.get(at).config.current().version,
      });
      fibers.push(yield* Effect.forkChild(Effect.exit(publication)));
    }
    yield* TestClock.adjust(10_000);
    const ended: Exit.Exit<PublishedConfig, unknown>[] = [];
    for (const fiber of fibers) ended.push(yield* Fiber.join(fiber));
    return ended;
  });
}

function failureOf(exit: Exit.Exit<unknown, unknown>): unknown {
  return Exit.match(exit, {
    onSuccess: () => undefined,
    onFailure: (cause) =>
      cause.reasons.map((reason) =>
        "error" in reason ? reason.error : reason
      )[0],
  });
}

describe("publication by several operators", () => {
  it("lets one of two racing editors win and shows its change to the other", () =>
    run((group) =>
      Effect.gen(function* () {
        yield* race(group, [{ at: 0, author: "base", config: BASE }]);
        const [first, second] = yield* race(group, [
          { at: 1, author: "anna", config: setReplicaCount(BASE, 20) },
          { at: 2, author: "bina", config: setReplicaCount(BASE, 30) },
        ]);
        expect(Exit.isSuccess(first!)).toEqual(true);
        const conflict = failureOf(second!) as ConfigConflict;
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

  it("settles a publication whose answer was lost", () =>
    run((group) =>
      Effect.gen(function* () {
        group.get(0).logFaults.losesAnswers = true;
        const [ended] = yield* race(group, [
          { at: 0, author: "anna", config: BASE },
        ]);
        expect(ended).toEqual(Exit.succeed({ version: 1, changed: true }));
      })
    ));

  it("says unknown in bounded time when the answer is lost and the log goes", () =>
    run((group) =>
      Effect.gen(function* () {
        group.get(0).logFaults.goesOutAtAppend = true;
        for (const id of group.ids) {
          if (id !== "entry-0") group.entries.get(id)!.logFaults.isOut = true;
        }
        const publication = yield* Effect.forkChild(Effect.exit(
          group.publish(group.get(0), { config: BASE, recordId: "lost" }),
        ));
        yield* TestClock.adjust(6_000);
        expect(group.log.nextOffset("config")).toEqual(1);
        const failure = failureOf(yield* Fiber.join(publication));
        expect(failure instanceof ConfigOutcomeUnknown).toEqual(true);
      })
    ));

  it("refuses at once when the log is out", () =>
    run((group) =>
      Effect.gen(function* () {
        group.get(0).logFaults.isOut = true;
        const publication = yield* Effect.forkChild(Effect.exit(
          group.publish(group.get(0), { config: BASE, recordId: "out" }),
        ));
        yield* TestClock.adjust(100);
        const failure = failureOf(yield* Fiber.join(publication)) as {
          readonly _tag: string;
        };
        expect(failure._tag).toEqual("LogUnavailable");
      })
    ));
});
