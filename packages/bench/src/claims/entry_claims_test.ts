import { FakeLog, InProcessLog } from "@celerytray/fakes";
import {
  type ClaimDecision,
  type ClaimedCall,
  type ClaimFailure,
  createClaimPolicy,
  createEntryClaims,
  type EntryClaimsOptions,
  FairQueueLimit,
  type ForwardingClaims,
} from "celerytray";
import { expect } from "earl";
import { Effect, Exit, Fiber, Scope } from "effect";
import { TestClock } from "effect/testing";
import { describe, it } from "node:test";

const START_MS = 1_700_000_000_000;
const CALL: ClaimedCall = {
  organisation: "patan",
  service: "slotbook",
  key: `${START_MS}-booking`,
  requestSha256: "digest",
};
const ADVANCE_MS = 900;
const STEP_MS = 10;
const CLAIM_OPTIONS = { waitMs: 3_000 };
const RAN_OUTCOME = { state: "ran", status: 201, bodyBase64: "e30=" } as const;

describe("claims of entry instances", () => {
  it("answers a duplicate with the outcome of the first call", () =>
    runTest(function* (cluster) {
      const [first, second] = [
        yield* cluster.start(),
        yield* cluster.start(),
      ];
      const granted = yield* claimGranted(first);
      const duplicate = yield* Effect.forkChild(
        second.claim(CALL, CLAIM_OPTIONS),
      );
      yield* TestClock.adjust(1_000);
      yield* first.recordOutcome({ key: CALL, ...granted }, RAN_OUTCOME);
      yield* TestClock.adjust(500);
      expect(duplicate.pollUnsafe()).toEqual(
        Exit.succeed({ kind: "done", outcome: RAN_OUTCOME }),
      );
    }));

  it("fails a duplicate as busy at its deadline while the first call runs", () =>
    runTest(function* (cluster) {
      const entry = yield* cluster.start();
      yield* claimGranted(entry);
      const duplicate = yield* Effect.forkChild(findClaimFailure(entry));
      yield* TestClock.adjust(CLAIM_OPTIONS.waitMs);
      expect(duplicate.pollUnsafe()).toEqual(Exit.succeed("ClaimBusy"));
    }));

  it("reports an unknown outcome when the claimant was killed", () =>
    runTest(function* (cluster) {
      const [first, second] = [
        yield* cluster.start(),
        yield* cluster.start(),
      ];
      yield* claimGranted(first);
      yield* cluster.kill(0);
      yield* TestClock.adjust(10_000);
      expect(yield* advanceAndJoin(findClaimFailure(second))).toEqual(
        "ClaimOutcomeUnknown",
      );
    }));

  it("resolves a lost append response by the record id", () =>
    runTest(function* (cluster) {
      const entry = yield* cluster.start();
      cluster.log.faults = { losesAnswers: true };
      const granted = yield* claimGranted(entry);
      expect(granted.kind).toEqual("granted");
    }));

  it("releases the key of a call that is certain not to be sent", () =>
    runTest(function* (cluster) {
      const entry = yield* cluster.start();
      const granted = yield* claimGranted(entry);
      yield* entry.recordOutcome({ key: CALL, ...granted }, {
        state: "not-run",
      });
      yield* TestClock.adjust(100);
      expect((yield* claimGranted(entry)).fencingNumber).toEqual(2);
    }));

  it("releases the key of a caller that disconnected before the grant", () =>
    runTest(function* (cluster) {
      const entry = yield* cluster.start();
      const abandoned = yield* Effect.forkChild(
        entry.claim(CALL, CLAIM_OPTIONS),
      );
      yield* TestClock.adjust(15);
      yield* Fiber.interrupt(abandoned);
      yield* TestClock.adjust(100);
      expect((yield* claimGranted(entry)).fencingNumber).toEqual(2);
    }));

  it("refuses calls within the timeout during a log outage, then recovers", () =>
    runTest(function* (cluster) {
      const entry = yield* cluster.start();
      for (const faults of [{ isOut: true }, { lateAppendMs: 90_000 }]) {
        cluster.log.faults = faults;
        const refused = yield* Effect.forkChild(findClaimFailure(entry));
        yield* TestClock.adjust(1_000);
        expect(refused.pollUnsafe()).toEqual(Exit.succeed("ClaimUnavailable"));
      }
      cluster.log.faults = {};
      yield* TestClock.adjust(1_000);
      expect((yield* claimGranted(entry)).kind).toEqual("granted");
    }));

  it("refuses undated keys and keys older than the claim window", () =>
    runTest(function* (cluster) {
      const entry = yield* cluster.start();
      for (const key of ["booking", `${START_MS - 60_001}-a`]) {
        const tag = yield* advanceAndJoin(
          findClaimFailure(entry, { ...CALL, key }),
        );
        expect(tag).toEqual("ClaimKeyRefused");
      }
    }));

  it("reads only the partitions that are used", () =>
    runTest(function* (cluster) {
      const entry = yield* cluster.start({ partitionCount: 64 });
      yield* claimGranted(entry);
      expect(cluster.streamsRead.size).toEqual(1);
    }));

  it("keeps slots for other organisations in a full queue", () => {
    const limit = new FairQueueLimit({ maxWaitingCalls: 10 });
    const enterTimes = (organisation: string, times: number) =>
      Array.from({ length: times }, () => limit.tryEnter(organisation))
        .filter(Boolean).length;
    expect(enterTimes("large", 50)).toEqual(10);
    expect(enterTimes("small", 50)).toEqual(5);
    expect(enterTimes("third", 50)).toEqual(3);
    expect(enterTimes("fourth", 50)).toEqual(2);
  });

  it("halves the limit while calls time out and raises it with each grant", () => {
    const limit = new FairQueueLimit({
      maxWaitingCalls: 40,
      minWaitingCalls: 10,
    });
    const countFreeSlots = () => {
      let count = 0;
      while (limit.tryEnter("large")) count += 1;
      for (let left = 0; left < count; left++) limit.leave("large");
      return count;
    };
    for (const atMs of [0, 10, 20, 1_000, 2_000]) limit.noteTimeout(atMs);
    expect(countFreeSlots()).toEqual(10);
    for (let grantCount = 0; grantCount < 100; grantCount++) limit.noteGrant();
    expect(countFreeSlots()).toEqual(40);
  });
});

class Cluster {
  readonly log = new FakeLog();
  readonly streamsRead = new Set<string>();
  readonly #scopes: Scope.Closeable[] = [];

  start(
    options: Partial<EntryClaimsOptions> = {},
  ): Effect.Effect<ForwardingClaims> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Scope.make();
      const index = this.#scopes.push(scope);
      let recordCount = 0;
      const log = new InProcessLog({ log: this.log, nextDelayMs: () => 10 });
      const read = log.read.bind(log);
      log.read = (stream, readOptions) => {
        this.streamsRead.add(stream);
        return read(stream, readOptions);
      };
      return yield* createEntryClaims({
        log,
        processId: `entry-${index}`,
        partitionCount: 1,
        policy: createClaimPolicy({
          claimWindowMs: 60_000,
          claimLogRetentionMs: 70_000,
          claimDispatchMs: 5_000,
          claimTimeoutMs: 1_000,
          claimUndatedKeys: "refuse",
          maxClockErrorMs: 1_000,
        }).unsafeCoerce(),
        appendsPerSecond: 50,
        createRecordId: () => `${index}-${recordCount++}`,
        ...options,
      }).pipe(Scope.provide(scope));
    });
  }

  kill(index: number): Effect.Effect<void> {
    return Scope.close(this.#scopes[index]!, Exit.void);
  }

  stop(): Effect.Effect<void> {
    return Effect.forEach(
      this.#scopes,
      (scope) => Scope.close(scope, Exit.void),
      { discard: true },
    );
  }
}

function runTest(
  test: (
    cluster: Cluster,
  ) => Generator<Effect.Effect<unknown, unknown>, void, never>,
): Promise<void> {
  const cluster = new Cluster();
  const testWithTime = Effect.gen(function* () {
    yield* TestClock.setTime(START_MS);
    yield* Effect.gen(() => test(cluster));
    yield* cluster.stop();
  });
  return Effect.runPromise(Effect.provide(testWithTime, TestClock.layer()));
}

/** Advances virtual time in steps, so that each fiber runs, then joins the effect. */
function advanceAndJoin<A, E>(
  effect: Effect.Effect<A, E>,
): Effect.Effect<A, E> {
  return Effect.gen(function* () {
    const fiber = yield* Effect.forkChild(effect);
    for (let elapsedMs = 0; elapsedMs < ADVANCE_MS; elapsedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
    }
    return yield* Fiber.join(fiber);
  });
}

function claimGranted(entry: ForwardingClaims) {
  return advanceAndJoin(entry.claim(CALL, CLAIM_OPTIONS)).pipe(
    Effect.map((decision: ClaimDecision) => {
      if (decision.kind === "granted") return decision;
      throw new Error(
        "Expected the claim to be granted; the key already has an outcome",
      );
    }),
  );
}

function findClaimFailure(
  entry: ForwardingClaims,
  call = CALL,
): Effect.Effect<string, ClaimDecision> {
  return Effect.flip(entry.claim(call, CLAIM_OPTIONS)).pipe(
    Effect.map(({ _tag }: ClaimFailure) => _tag),
  );
}
