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
const SETTLE_MS = 900;
const STEP_MS = 10;
const WAIT = { waitMs: 3_000 };
const RAN = { state: "ran", status: 201, bodyBase64: "e30=" } as const;

describe("claims of entry instances", () => {
  it("answers a duplicate with the outcome that it waited for", () =>
    run(function* (cluster) {
      const [first, second] = [
        yield* cluster.start(),
        yield* cluster.start(),
      ];
      const granted = yield* grant(first);
      const duplicate = yield* Effect.forkChild(second.claim(CALL, WAIT));
      yield* TestClock.adjust(1_000);
      yield* first.recordOutcome({ key: CALL, ...granted }, RAN);
      yield* TestClock.adjust(500);
      expect(duplicate.pollUnsafe()).toEqual(
        Exit.succeed({ kind: "done", outcome: RAN }),
      );
    }));

  it("tells a duplicate at its deadline that the first call runs", () =>
    run(function* (cluster) {
      const entry = yield* cluster.start();
      yield* grant(entry);
      const duplicate = yield* Effect.forkChild(fails(entry));
      yield* TestClock.adjust(WAIT.waitMs);
      expect(duplicate.pollUnsafe()).toEqual(Exit.succeed("ClaimBusy"));
    }));

  it("tells that the outcome is unknown when the claimant died", () =>
    run(function* (cluster) {
      const [first, second] = [
        yield* cluster.start(),
        yield* cluster.start(),
      ];
      yield* grant(first);
      yield* cluster.kill(0);
      yield* TestClock.adjust(10_000);
      expect(yield* settle(fails(second))).toEqual("ClaimOutcomeUnknown");
    }));

  it("settles a lost append answer by the record id", () =>
    run(function* (cluster) {
      const entry = yield* cluster.start();
      cluster.log.faults = { losesAnswers: true };
      const granted = yield* grant(entry);
      expect(granted.kind).toEqual("granted");
    }));

  it("frees the key of a call that is certain not to be sent", () =>
    run(function* (cluster) {
      const entry = yield* cluster.start();
      const granted = yield* grant(entry);
      yield* entry.recordOutcome({ key: CALL, ...granted }, {
        state: "not-run",
      });
      yield* TestClock.adjust(100);
      expect((yield* grant(entry)).fencingNumber).toEqual(2);
    }));

  it("frees the key of a caller who left before the grant", () =>
    run(function* (cluster) {
      const entry = yield* cluster.start();
      const left = yield* Effect.forkChild(entry.claim(CALL, WAIT));
      yield* TestClock.adjust(15);
      yield* Fiber.interrupt(left);
      yield* TestClock.adjust(100);
      expect((yield* grant(entry)).fencingNumber).toEqual(2);
    }));

  it("refuses within the timeout while the log is out, and recovers", () =>
    run(function* (cluster) {
      const entry = yield* cluster.start();
      for (const faults of [{ isOut: true }, { lateAppendMs: 90_000 }]) {
        cluster.log.faults = faults;
        const refused = yield* Effect.forkChild(fails(entry));
        yield* TestClock.adjust(1_000);
        expect(refused.pollUnsafe()).toEqual(Exit.succeed("ClaimUnavailable"));
      }
      cluster.log.faults = {};
      yield* TestClock.adjust(1_000);
      expect((yield* grant(entry)).kind).toEqual("granted");
    }));

  it("refuses keys that cannot be guarded", () =>
    run(function* (cluster) {
      const entry = yield* cluster.start();
      for (const key of ["booking", `${START_MS - 60_001}-a`]) {
        const tag = yield* settle(fails(entry, { ...CALL, key }));
        expect(tag).toEqual("ClaimKeyRefused");
      }
    }));

  it("follows only the partitions that are used", () =>
    run(function* (cluster) {
      const entry = yield* cluster.start({ partitionCount: 64 });
      yield* grant(entry);
      expect(cluster.streamsRead.size).toEqual(1);
    }));

  it("keeps places for other organisations in a full queue", () => {
    const limit = new FairQueueLimit({ maxWaitingCalls: 10 });
    const enter = (organisation: string, times: number) =>
      Array.from({ length: times }, () => limit.tryEnter(organisation))
        .filter(Boolean).length;
    expect(enter("large", 50)).toEqual(10);
    expect(enter("small", 50)).toEqual(5);
    expect(enter("third", 50)).toEqual(3);
    expect(enter("fourth", 50)).toEqual(2);
  });

  it("takes fewer calls while calls time out, and more with each grant", () => {
    const limit = new FairQueueLimit({
      maxWaitingCalls: 40,
      minWaitingCalls: 10,
    });
    const countPlaces = () => {
      let count = 0;
      while (limit.tryEnter("large")) count += 1;
      for (let left = 0; left < count; left++) limit.leave("large");
      return count;
    };
    for (const atMs of [0, 10, 20, 1_000, 2_000]) limit.noteTimeout(atMs);
    expect(countPlaces()).toEqual(10);
    for (let grants = 0; grants < 100; grants++) limit.noteGrant();
    expect(countPlaces()).toEqual(40);
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

function run(
  play: (
    cluster: Cluster,
  ) => Generator<Effect.Effect<unknown, unknown>, void, never>,
): Promise<void> {
  const cluster = new Cluster();
  const played = Effect.gen(function* () {
    yield* TestClock.setTime(START_MS);
    yield* Effect.gen(() => play(cluster));
    yield* cluster.stop();
  });
  return Effect.runPromise(Effect.provide(played, TestClock.layer()));
}

/** Runs an effect while time goes on, in steps that let each fiber act. */
function settle<A, E>(effect: Effect.Effect<A, E>): Effect.Effect<A, E> {
  return Effect.gen(function* () {
    const fiber = yield* Effect.forkChild(effect);
    for (let elapsedMs = 0; elapsedMs < SETTLE_MS; elapsedMs += STEP_MS) {
      yield* TestClock.adjust(STEP_MS);
    }
    return yield* Fiber.join(fiber);
  });
}

function grant(entry: ForwardingClaims) {
  return settle(entry.claim(CALL, WAIT)).pipe(
    Effect.map((decision: ClaimDecision) => {
      if (decision.kind === "granted") return decision;
      throw new Error("The claim was not granted");
    }),
  );
}

function fails(
  entry: ForwardingClaims,
  call = CALL,
): Effect.Effect<string, ClaimDecision> {
  return Effect.flip(entry.claim(call, WAIT)).pipe(
    Effect.map(({ _tag }: ClaimFailure) => _tag),
  );
}
