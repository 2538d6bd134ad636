import type { LogRecord } from "@celerytray/schema";
import { FakeLog, InProcessLog } from "@celerytray/fakes";
import {
  type ClaimedCall,
  createClaimPolicy,
  createEntryClaims,
  type ForwardingClaims,
  type GrantedClaim,
  type LogService,
} from "celerytray";
import { expect } from "earl";
import { Clock, Effect, Exit, Latch, Scope } from "effect";
import { TestClock } from "effect/testing";
import fc from "fast-check";
import { it } from "node:test";

const START_MS = 1_700_000_000_000;
const WINDOW_MS = 60_000;
const RETENTION_MS = 70_000;
const DISPATCH_MS = 5_000;
const STALL_MS = 6_500;
const WAIT_MS = 3_000;
const PROCESS_COUNT = 3;
const SERVICE_MS = 100;
const STREAM = "claims-0";
const POLICY = createClaimPolicy({
  claimWindowMs: WINDOW_MS,
  claimLogRetentionMs: RETENTION_MS,
  claimDispatchMs: DISPATCH_MS,
  claimTimeoutMs: 1_000,
  claimUndatedKeys: "refuse",
  maxClockErrorMs: 1_000,
}).unsafeCoerce();

type Action =
  | { readonly kind: "call"; readonly key: number; readonly body: string }
  | { readonly kind: "advance"; readonly ms: number }
  | { readonly kind: "stall"; readonly key: number; readonly afterMs: number }
  | {
    readonly kind:
      | "kill"
      | "kill-all"
      | "pause"
      | "resume"
      | "cut"
      | "connect"
      | "log-out"
      | "log-loses-answers"
      | "log-appends-late"
      | "log-well"
      | "service-loses-answers"
      | "service-well"
      | "retain"
      | "truncate";
  };

interface Step {
  readonly process: number;
  readonly action: Action;
}

interface Process {
  readonly claims: ForwardingClaims;
  readonly scope: Scope.Closeable;
  readonly running: Latch.Latch;
  isCut: boolean;
}

interface Run {
  readonly callId: number;
  readonly key: string;
  readonly body: string;
}

interface TimedRun extends Run {
  readonly claimRecordId: string;
  /** Log service's clock. */
  readonly ranAtMs: number;
}

interface Told extends Run {
  readonly told: string;
  readonly outcomeCallId?: string | undefined;
}

class World {
  readonly log = new FakeLog();
  readonly processes: Process[] = [];
  readonly keys: string[] = [];
  readonly runs: TimedRun[] = [];
  readonly claimedAtMs = new Map<string, number>();
  readonly told: Told[] = [];
  readonly clockErrorMs: number;
  readonly nextDelayMs: () => number;
  serviceLosesAnswers = false;
  #callCount = 0;

  constructor(delaysMs: readonly number[], clockErrorMs: number) {
    let drawn = 0;
    this.nextDelayMs = () => delaysMs[drawn++ % delaysMs.length]!;
    this.clockErrorMs = clockErrorMs;
    const append = this.log.append.bind(this.log);
    this.log.append = (name, options) => {
      for (const record of options.records as readonly LogRecord[]) {
        this.claimedAtMs.set(record.recordId, options.nowMs);
      }
      return append(name, options);
    };
  }

  start(index: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Scope.make();
      const running = Latch.makeUnsafe(true);
      const process = { scope, running, isCut: false, claims: undefined };
      const started = process as unknown as Process & {
        claims: ForwardingClaims;
      };
      let recordCount = 0;
      const incarnation = this.processes.length + this.#callCount * 1_000;
      started.claims = yield* createEntryClaims({
        log: this.#createLog(started),
        processId: `entry-${index}`,
        partitionCount: 1,
        policy: POLICY,
        appendsPerSecond: 20,
        createRecordId: () => `${index}-${incarnation}-${recordCount++}`,
      }).pipe(Scope.provide(scope));
      this.processes[index] = started;
    });
  }

  act({ process: index, action }: Step): Effect.Effect<void> {
    const process = this.processes[index]!;
    const { log } = this;
    switch (action.kind) {
      case "call":
        return this.#call(process, action);
      case "advance":
        return TestClock.adjust(action.ms);
      case "kill":
        return this.#restart(index);
      case "kill-all":
        return Effect.forEach(
          this.processes.keys(),
          (each) => this.#restart(each),
          { discard: true },
        );
      case "pause":
        return Effect.asVoid(process.running.close);
      case "resume":
        return Effect.asVoid(process.running.open);
      case "stall":
        return this.#call(process, { ...action, body: "a" }).pipe(
          Effect.andThen(TestClock.adjust(action.afterMs)),
          Effect.andThen(process.running.close),
          Effect.andThen(TestClock.adjust(STALL_MS)),
          Effect.andThen(process.running.open),
          Effect.asVoid,
        );
      case "retain":
        return Effect.map(
          Clock.currentTimeMillis,
          (nowMs) => log.removeOlder(STREAM, nowMs - RETENTION_MS),
        );
      default:
        return Effect.sync(() => {
          if (action.kind === "cut") process.isCut = true;
          if (action.kind === "connect") process.isCut = false;
          if (action.kind === "log-out") log.faults = { isOut: true };
          if (action.kind === "log-well") log.faults = {};
          if (action.kind === "log-loses-answers") {
            log.faults = { losesAnswers: true };
          }
          if (action.kind === "log-appends-late") {
            log.faults = { lateAppendMs: 2_500 };
          }
          if (action.kind === "service-loses-answers") {
            this.serviceLosesAnswers = true;
          }
          if (action.kind === "service-well") this.serviceLosesAnswers = false;
          if (action.kind === "truncate") {
            log.truncate(STREAM, log.nextOffset(STREAM));
          }
        });
    }
  }

  #createLog(process: Process): LogService {
    const inner = new InProcessLog({
      log: this.log,
      clockErrorMs: this.clockErrorMs,
      nextDelayMs: this.nextDelayMs,
      isDisconnected: () => process.isCut,
    });
    const pausable = <A, E>(effect: Effect.Effect<A, E>) =>
      process.running.await.pipe(
        Effect.andThen(effect),
        Effect.onExit(() => process.running.await),
      );
    return {
      append: (stream, records) => pausable(inner.append(stream, records)),
      read: (stream, options) => pausable(inner.read(stream, options)),
    };
  }

  #restart(index: number): Effect.Effect<void> {
    const { running, scope } = this.processes[index]!;
    return running.open.pipe(
      Effect.andThen(Scope.close(scope, Exit.void)),
      Effect.andThen(this.start(index)),
    );
  }

  #call(
    process: Process,
    options: { readonly key: number; readonly body: string },
  ): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const newKey = `${nowMs}-${this.keys.length}`;
      const key = this.keys[options.key] ?? newKey;
      if (key === newKey) this.keys.push(key);
      const run = { callId: this.#callCount++, key, body: options.body };
      const serve = this.#serve(process, run).pipe(
        Effect.map((told) => this.told.push(told)),
      );
      yield* Effect.forkIn(serve, process.scope);
    });
  }

  #serve(process: Process, run: Run): Effect.Effect<Told> {
    const call: ClaimedCall = {
      organisation: "patan",
      service: "slotbook",
      key: run.key,
      requestSha256: run.body,
    };
    return Effect.gen({ self: this }, function* () {
      const decision = yield* process.claims.claim(call, { waitMs: WAIT_MS });
      if (decision.kind === "done") {
        const { state, contentType } = decision.outcome;
        return { ...run, told: state, outcomeCallId: contentType };
      }
      yield* Effect.sleep(this.nextDelayMs());
      yield* process.running.await;
      return yield* this.#dispatch(process, { run, call, granted: decision });
    }).pipe(
      Effect.catch((failure) =>
        Effect.succeed({ ...run, told: failure._tag as string })
      ),
    );
  }

  #dispatch(
    process: Process,
    options: {
      readonly run: Run;
      readonly call: ClaimedCall;
      readonly granted: GrantedClaim;
    },
  ): Effect.Effect<Told> {
    const { run, call, granted: { claimRecordId, mayDispatch } } = options;
    const claim = { key: call, claimRecordId };
    return Effect.gen({ self: this }, function* () {
      if (!mayDispatch()) {
        yield* process.claims.recordOutcome(claim, { state: "not-run" });
        return { ...run, told: "not-run" };
      }
      const nowMs = yield* Clock.currentTimeMillis;
      const ranAtMs = nowMs + this.clockErrorMs;
      this.runs.push({ ...run, claimRecordId, ranAtMs });
      yield* Effect.sleep(SERVICE_MS);
      const state = this.serviceLosesAnswers ? "unknown" : "ran";
      const contentType = String(run.callId);
      yield* process.claims.recordOutcome(claim, { state, contentType });
      return { ...run, told: state, outcomeCallId: contentType };
    });
  }
}

const NOT_RUN = ["not-run", "ClaimUnavailable", "ClaimKeyReused"];

function checkHistory({ keys, runs, told, claimedAtMs }: World): void {
  for (const key of keys) {
    const ofKey = runs.filter((run) => run.key === key);
    expect(ofKey.length).toBeLessThanOrEqual(1);
  }
  for (const { claimRecordId, ranAtMs } of runs) {
    const ageMs = ranAtMs - claimedAtMs.get(claimRecordId)!;
    expect(ageMs).toBeLessThan(DISPATCH_MS);
  }
  for (const answer of told) {
    const own = runs.some(({ callId }) => callId === answer.callId);
    if (NOT_RUN.includes(answer.told)) expect(own).toEqual(false);
    if (answer.told !== "ran") continue;
    const run = runs.find(({ key }) => key === answer.key);
    expect(answer.outcomeCallId).toEqual(String(run?.callId));
    expect(answer.body).toEqual(run!.body);
  }
}

const faults = [
  "kill",
  "kill-all",
  "pause",
  "resume",
  "cut",
  "connect",
  "log-out",
  "log-loses-answers",
  "log-appends-late",
  "log-well",
  "service-loses-answers",
  "service-well",
  "retain",
  "truncate",
] as const;
const steps = fc.record({
  process: fc.nat(PROCESS_COUNT - 1),
  action: fc.oneof(
    {
      weight: 8,
      arbitrary: fc.record({
        kind: fc.constant("call" as const),
        key: fc.nat(4),
        body: fc.constantFrom("a", "a", "a", "a", "b"),
      }),
    },
    {
      weight: 6,
      arbitrary: fc.record({
        kind: fc.constant("advance" as const),
        ms: fc.constantFrom(1, 40, 300, 1_500, 6_000, 31_000, 62_500),
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({
        kind: fc.constant("stall" as const),
        key: fc.nat(8),
        afterMs: fc.nat(600),
      }),
    },
    { weight: 6, arbitrary: fc.record({ kind: fc.constantFrom(...faults) }) },
  ),
});
const histories = fc.record({
  steps: fc.array(steps, { minLength: 5, maxLength: 60 }),
  delaysMs: fc.array(fc.nat(150), { minLength: 3, maxLength: 12 }),
  clockErrorMs: fc.constantFrom(-900, 0, 900),
});

it("runs each key at most once in any history", async () => {
  let ranCount = 0;
  let replayedCount = 0;
  const property = fc.asyncProperty(histories, async (history) => {
    const world = new World(history.delaysMs, history.clockErrorMs);
    const play = Effect.gen(function* () {
      yield* TestClock.setTime(START_MS);
      for (let index = 0; index < PROCESS_COUNT; index++) {
        yield* world.start(index);
      }
      for (const step of history.steps) yield* world.act(step);
      for (let process = 0; process < PROCESS_COUNT; process++) {
        yield* world.act({ process, action: { kind: "resume" } });
        yield* world.act({ process, action: { kind: "connect" } });
      }
      yield* world.act({ process: 0, action: { kind: "log-well" } });
      yield* TestClock.adjust(10_000);
      for (const { scope } of world.processes) {
        yield* Scope.close(scope, Exit.void);
      }
    });
    await Effect.runPromise(Effect.provide(play, TestClock.layer()));
    checkHistory(world);
    ranCount += world.runs.length;
    replayedCount += world.told.filter(({ told }) => told === "ran").length -
      world.runs.length;
  });
  await fc.assert(property, { seed: 6, numRuns: 500 });
  expect(ranCount > 500 && replayedCount > 0).toEqual(true);
});
