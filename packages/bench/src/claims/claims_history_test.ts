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
/** Longer than the dispatch deadline of a claim. */
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

/** An entry process of the simulation. */
interface Process {
  readonly claims: ForwardingClaims;
  readonly scope: Scope.Closeable;
  /** Closed while the process is paused. */
  readonly resumed: Latch.Latch;
  isDisconnected: boolean;
}

interface CallRequest {
  readonly callId: number;
  readonly key: string;
  readonly body: string;
}

interface Execution extends CallRequest {
  readonly claimRecordId: string;
  /** By the log service's clock. */
  readonly ranAtMs: number;
}

interface CallResult extends CallRequest {
  readonly outcome: string;
  /** Call whose outcome the caller received. */
  readonly outcomeCallId?: string | undefined;
}

/**
 * Entry processes that claim calls on one log in virtual time, under faults of
 * the processes, the log and the service.
 */
class ClaimsSimulation {
  readonly log = new FakeLog();
  readonly processes: Process[] = [];
  readonly issuedKeys: string[] = [];
  readonly executions: Execution[] = [];
  readonly claimedAtMs = new Map<string, number>();
  readonly results: CallResult[] = [];
  readonly clockErrorMs: number;
  readonly nextDelayMs: () => number;
  serviceLosesAnswers = false;
  #callCount = 0;

  constructor(delaysMs: readonly number[], clockErrorMs: number) {
    let drawnCount = 0;
    this.nextDelayMs = () => delaysMs[drawnCount++ % delaysMs.length]!;
    this.clockErrorMs = clockErrorMs;
    const append = this.log.append.bind(this.log);
    this.log.append = (name, options) => {
      for (const record of options.records as readonly LogRecord[]) {
        this.claimedAtMs.set(record.recordId, options.nowMs);
      }
      return append(name, options);
    };
  }

  startProcess(index: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Scope.make();
      const resumed = Latch.makeUnsafe(true);
      const process = {
        scope,
        resumed,
        isDisconnected: false,
        claims: undefined,
      };
      const startedProcess = process as unknown as Process & {
        claims: ForwardingClaims;
      };
      let recordCount = 0;
      const incarnation = this.processes.length + this.#callCount * 1_000;
      startedProcess.claims = yield* createEntryClaims({
        log: this.#createLog(startedProcess),
        processId: `entry-${index}`,
        partitionCount: 1,
        policy: POLICY,
        appendsPerSecond: 20,
        createRecordId: () => `${index}-${incarnation}-${recordCount++}`,
      }).pipe(Scope.provide(scope));
      this.processes[index] = startedProcess;
    });
  }

  applyStep({ process: index, action }: Step): Effect.Effect<void> {
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
          (processIndex) => this.#restart(processIndex),
          { discard: true },
        );
      case "pause":
        return Effect.asVoid(process.resumed.close);
      case "resume":
        return Effect.asVoid(process.resumed.open);
      case "stall":
        return this.#call(process, { ...action, body: "a" }).pipe(
          Effect.andThen(TestClock.adjust(action.afterMs)),
          Effect.andThen(process.resumed.close),
          Effect.andThen(TestClock.adjust(STALL_MS)),
          Effect.andThen(process.resumed.open),
          Effect.asVoid,
        );
      case "retain":
        return Effect.map(
          Clock.currentTimeMillis,
          (nowMs) => log.removeOlder(STREAM, nowMs - RETENTION_MS),
        );
      default:
        return Effect.sync(() => {
          if (action.kind === "cut") process.isDisconnected = true;
          if (action.kind === "connect") process.isDisconnected = false;
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
    const processLog = new InProcessLog({
      log: this.log,
      clockErrorMs: this.clockErrorMs,
      nextDelayMs: this.nextDelayMs,
      isDisconnected: () => process.isDisconnected,
    });
    const pausable = <A, E>(effect: Effect.Effect<A, E>) =>
      process.resumed.await.pipe(
        Effect.andThen(effect),
        Effect.onExit(() => process.resumed.await),
      );
    return {
      append: (stream, records) => pausable(processLog.append(stream, records)),
      read: (stream, options) => pausable(processLog.read(stream, options)),
    };
  }

  #restart(index: number): Effect.Effect<void> {
    const { resumed, scope } = this.processes[index]!;
    return resumed.open.pipe(
      Effect.andThen(Scope.close(scope, Exit.void)),
      Effect.andThen(this.startProcess(index)),
    );
  }

  #call(
    process: Process,
    options: { readonly key: number; readonly body: string },
  ): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const newKey = `${nowMs}-${this.issuedKeys.length}`;
      const key = this.issuedKeys[options.key] ?? newKey;
      if (key === newKey) this.issuedKeys.push(key);
      const request = { callId: this.#callCount++, key, body: options.body };
      const serveAndRecord = this.#serve(process, request).pipe(
        Effect.map((result) => this.results.push(result)),
      );
      yield* Effect.forkIn(serveAndRecord, process.scope);
    });
  }

  #serve(process: Process, request: CallRequest): Effect.Effect<CallResult> {
    const call: ClaimedCall = {
      organisation: "patan",
      service: "slotbook",
      key: request.key,
      requestSha256: request.body,
    };
    return Effect.gen({ self: this }, function* () {
      const decision = yield* process.claims.claim(call, { waitMs: WAIT_MS });
      if (decision.kind === "done") {
        const { state, contentType } = decision.outcome;
        return { ...request, outcome: state, outcomeCallId: contentType };
      }
      yield* Effect.sleep(this.nextDelayMs());
      yield* process.resumed.await;
      return yield* this.#dispatch(process, {
        request,
        call,
        granted: decision,
      });
    }).pipe(
      Effect.catch((failure) =>
        Effect.succeed({ ...request, outcome: failure._tag as string })
      ),
    );
  }

  #dispatch(
    process: Process,
    options: {
      readonly request: CallRequest;
      readonly call: ClaimedCall;
      readonly granted: GrantedClaim;
    },
  ): Effect.Effect<CallResult> {
    const { request, call, granted: { claimRecordId, mayDispatch } } = options;
    const claim = { key: call, claimRecordId };
    return Effect.gen({ self: this }, function* () {
      if (!mayDispatch()) {
        yield* process.claims.recordOutcome(claim, { state: "not-run" });
        return { ...request, outcome: "not-run" };
      }
      const nowMs = yield* Clock.currentTimeMillis;
      const ranAtMs = nowMs + this.clockErrorMs;
      this.executions.push({ ...request, claimRecordId, ranAtMs });
      yield* Effect.sleep(SERVICE_MS);
      const state = this.serviceLosesAnswers ? "unknown" : "ran";
      const contentType = String(request.callId);
      yield* process.claims.recordOutcome(claim, { state, contentType });
      return { ...request, outcome: state, outcomeCallId: contentType };
    });
  }
}

/** Outcomes that assure the caller that its call was not executed. */
const UNEXECUTED = ["not-run", "ClaimUnavailable", "ClaimKeyReused"];

/**
 * Checks that each key was executed at most once and within its dispatch
 * deadline, and that callers received matching outcomes.
 */
function checkHistory(
  { issuedKeys, executions, results, claimedAtMs }: ClaimsSimulation,
): void {
  for (const key of issuedKeys) {
    const executionsOfKey = executions.filter((execution) =>
      execution.key === key
    );
    expect(executionsOfKey.length).toBeLessThanOrEqual(1);
  }
  for (const { claimRecordId, ranAtMs } of executions) {
    const ageMs = ranAtMs - claimedAtMs.get(claimRecordId)!;
    expect(ageMs).toBeLessThan(DISPATCH_MS);
  }
  for (const result of results) {
    const isExecuted = executions.some(({ callId }) =>
      callId === result.callId
    );
    if (UNEXECUTED.includes(result.outcome)) expect(isExecuted).toEqual(false);
    if (result.outcome !== "ran") continue;
    const execution = executions.find(({ key }) => key === result.key);
    expect(result.outcomeCallId).toEqual(String(execution?.callId));
    expect(result.body).toEqual(execution!.body);
  }
}

const faultKinds = [
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
const stepArbitrary = fc.record({
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
    {
      weight: 6,
      arbitrary: fc.record({ kind: fc.constantFrom(...faultKinds) }),
    },
  ),
});
const historyArbitrary = fc.record({
  steps: fc.array(stepArbitrary, { minLength: 5, maxLength: 60 }),
  delaysMs: fc.array(fc.nat(150), { minLength: 3, maxLength: 12 }),
  clockErrorMs: fc.constantFrom(-900, 0, 900),
});

it("executes each key at most once under any history of calls and faults", async () => {
  let executedCount = 0;
  let replayedCount = 0;
  const historyProperty = fc.asyncProperty(
    historyArbitrary,
    async (history) => {
      const simulation = new ClaimsSimulation(
        history.delaysMs,
        history.clockErrorMs,
      );
      const runHistory = Effect.gen(function* () {
        yield* TestClock.setTime(START_MS);
        for (let index = 0; index < PROCESS_COUNT; index++) {
          yield* simulation.startProcess(index);
        }
        for (const step of history.steps) yield* simulation.applyStep(step);
        for (let process = 0; process < PROCESS_COUNT; process++) {
          yield* simulation.applyStep({ process, action: { kind: "resume" } });
          yield* simulation.applyStep({ process, action: { kind: "connect" } });
        }
        yield* simulation.applyStep({
          process: 0,
          action: { kind: "log-well" },
        });
        yield* TestClock.adjust(10_000);
        for (const { scope } of simulation.processes) {
          yield* Scope.close(scope, Exit.void);
        }
      });
      await Effect.runPromise(Effect.provide(runHistory, TestClock.layer()));
      checkHistory(simulation);
      executedCount += simulation.executions.length;
      replayedCount +=
        simulation.results.filter(({ outcome }) => outcome === "ran").length -
        simulation.executions.length;
    },
  );
  await fc.assert(historyProperty, { seed: 6, numRuns: 500 });
  expect(executedCount > 500 && replayedCount > 0).toEqual(true);
});
