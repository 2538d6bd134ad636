import { expect } from "earl";
import { Effect, type Scope } from "effect";
import { TestClock } from "effect/testing";
import { Right } from "purify-ts";
import { describe, it } from "node:test";
import { steadyMs } from "../clock/index.ts";
import {
  InstanceSilent,
  type Reach,
  type SilenceReason,
} from "../groups/index.ts";
import type { LossProof } from "../serving/index.ts";
import { ReportedLosses } from "./reported_losses.ts";

const BORN_AT_MS = 1_700_000_000_000;
const INCARNATION = `head ${BORN_AT_MS}`;
/** Time within which a crash is to be proved, less than evidence settles in. */
const SOON_MS = 300;
const RESTART_MS = 3_500;
const LONG_MS = 5_000;
const STEP_MS = 50;

interface Listed {
  readonly address: string;
  readonly bornAtMs?: number;
}

interface Situation {
  listed: Listed | undefined;
  /** What a probe meets. */
  probe: "answered" | SilenceReason;
  /** What this process and others reach. */
  reaches: readonly Reach[];
}

// Guards against what all prompts share coming into quarantine for good because
// processes report instances as lost that only refused or lost connections.
describe("a reported loss", () => {
  it("is disproved by an answer of the same life", async () => {
    expect(await follow({ probe: "answered" }, SOON_MS)).toEqual("alive");
  });

  it("is disproved where a full instance resets connections for long", async () => {
    expect(await follow({ probe: "unanswered" }, SOON_MS)).toEqual("open");
    expect(await follow({ probe: "unanswered" }, LONG_MS)).toEqual("alive");
  });

  it("is proved where what takes connections begins another life", () =>
    run(Effect.gen(function* () {
      const situation = createSituation({ probe: "unanswered" });
      const losses = yield* start(situation);
      yield* advance(losses, RESTART_MS);
      situation.listed = { address: "a", bornAtMs: BORN_AT_MS + 1 };
      yield* advance(losses, STEP_MS);
      expect(losses.proofOf(INCARNATION)).toEqual("lost");
    })));

  it("is proved by a refused connection", async () => {
    expect(await follow({ probe: "refused" }, SOON_MS)).toEqual("lost");
  });

  it("is proved by another instance at its address", async () => {
    expect(await follow({ probe: "replaced" }, SOON_MS)).toEqual("lost");
  });

  it("is proved at once by a later birth", async () => {
    const listed = { address: "a", bornAtMs: BORN_AT_MS + 1 };
    expect(await follow({ listed, probe: "answered" }, 0)).toEqual("lost");
  });

  it("is proved at once where the instance has left the list", async () => {
    expect(await follow({ listed: undefined }, 0)).toEqual("lost");
  });

  it("stays open while the instance is silent and nobody can tell", async () => {
    const silent = { probe: "unreachable" } as const;
    expect(await follow(silent, SOON_MS)).toEqual("open");
    expect(await follow({ ...silent, reaches: ["unknown"] }, LONG_MS))
      .toEqual("open");
  });

  it("is decided by what others reach of one that stays silent", async () => {
    const silent = { probe: "unreachable" } as const;
    const reached = { ...silent, reaches: ["unanswered", "answered"] } as const;
    expect(await follow(reached, LONG_MS)).toEqual("alive");
    const unreached = {
      ...silent,
      reaches: ["unanswered", "unknown"],
    } as const;
    expect(await follow(unreached, SOON_MS)).toEqual("open");
    expect(await follow(unreached, LONG_MS)).toEqual("lost");
  });

  it("is proved after all where the answer was of the next life", () =>
    run(Effect.gen(function* () {
      const situation = createSituation({ probe: "answered" });
      const losses = yield* start(situation);
      yield* advance(losses, SOON_MS);
      expect(losses.proofOf(INCARNATION)).toEqual("alive");
      situation.listed = { address: "a", bornAtMs: BORN_AT_MS + 1 };
      yield* advance(losses, STEP_MS);
      expect(losses.proofOf(INCARNATION)).toEqual("lost");
    })));

  it("stays disproved where the instance leaves or ends later", () =>
    run(Effect.gen(function* () {
      const situation = createSituation({ probe: "answered" });
      const losses = yield* start(situation);
      yield* advance(losses, LONG_MS);
      situation.listed = { address: "a", bornAtMs: BORN_AT_MS + 1 };
      yield* advance(losses, STEP_MS);
      expect(losses.proofOf(INCARNATION)).toEqual("alive");
      situation.listed = undefined;
      yield* advance(losses, STEP_MS);
      expect(losses.proofOf(INCARNATION)).toEqual("alive");
    })));
});

/** Returns what is known of a loss some time after its first report. */
function follow(
  situation: Partial<Situation>,
  durationMs: number,
): Promise<LossProof> {
  return run(Effect.gen(function* () {
    const losses = yield* start(createSituation(situation));
    yield* advance(losses, durationMs);
    return losses.proofOf(INCARNATION);
  }));
}

function createSituation(situation: Partial<Situation>): Situation {
  const listed = { address: "a", bornAtMs: BORN_AT_MS };
  return { listed, probe: "answered", reaches: [], ...situation };
}

function start(situation: Situation) {
  return Effect.gen(function* () {
    let nowMs = yield* steadyMs;
    const losses = new ReportedLosses({
      isListLoaded: () => true,
      findInstance: () => situation.listed,
      probe: () =>
        situation.probe === "answered"
          ? Effect.succeed({ pace: Right(1), isLeaving: false })
          : Effect.fail(
            new InstanceSilent({ message: "silent", reason: situation.probe }),
          ),
      askReaches: () =>
        Effect.succeed(situation.reaches.map((head) => ({ head }))),
      onAlive: () => {},
      nowMs: () => nowMs,
    });
    yield* Effect.forkScoped(
      Effect.forever(
        Effect.andThen(
          Effect.map(steadyMs, (ms) => {
            nowMs = ms;
          }),
          Effect.sleep(1),
        ),
      ),
    );
    losses.note([INCARNATION]);
    yield* Effect.forkScoped(losses.run());
    return losses;
  });
}

/** Lets time pass; the loss is reported again and again. */
function advance(losses: ReportedLosses, durationMs: number) {
  return Effect.forEach(
    Array.from({ length: durationMs / STEP_MS }),
    () =>
      Effect.andThen(
        TestClock.adjust(STEP_MS),
        Effect.sync(() => losses.note([INCARNATION])),
      ),
    { discard: true },
  );
}

function run<Result>(
  effect: Effect.Effect<Result, never, Scope.Scope>,
): Promise<Result> {
  return Effect.runPromise(
    Effect.scoped(effect).pipe(Effect.provide(TestClock.layer())),
  );
}
