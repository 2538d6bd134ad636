import type { CallOutcome, LogRecord } from "@celerytray/schema";
import { Clock, Effect, Schedule, Scope } from "effect";
import { randomUUID } from "node:crypto";
import {
  claimCall,
  type ClaimDecision,
  type ClaimedCall,
  type ClaimFailure,
  type ClaimPolicy,
  ClaimUnavailable,
  type ClaimView,
  createClaimView,
  FairQueueLimit,
  selectClaimPartition,
} from "../claims/index.ts";
import type { ForwardingClaims } from "../forwarding/index.ts";
import {
  AppendRateLimiter,
  createLogWriter,
  type LogService,
  type LogWriter,
} from "../log/index.ts";

interface ClaimPartition {
  readonly writer: LogWriter;
  readonly view: ClaimView;
}

/** Options of an entry instance's claims. */
export interface EntryClaimsOptions {
  readonly log: LogService;
  readonly processId: string;
  readonly partitionCount: number;
  readonly policy: ClaimPolicy;
  readonly appendsPerSecond: number;
  readonly maxWaitingCalls?: number;
  readonly createRecordId?: () => string;
}

const OUTCOME_RETRY_DELAY_MS = 500;
const OUTCOME_RETRIES = 1_200;
const MAX_UNRECORDED_OUTCOMES = 5_000;
const DEFAULT_MAX_WAITING_CALLS = 2_000;
const RETRY_AFTER_MS = 2_000;

/**
 * Creates claims over partitioned log streams; each is followed from its first
 * use.
 */
export function createEntryClaims(
  options: EntryClaimsOptions,
): Effect.Effect<ForwardingClaims, never, Scope.Scope> {
  return Effect.gen(function* () {
    const scope = yield* Effect.scope;
    const limiter = new AppendRateLimiter(options);
    const partitions: Effect.Effect<ClaimPartition>[] = [];
    for (let index = 0; index < options.partitionCount; index++) {
      const open = createPartition(index, {
        log: options.log,
        options,
        limiter,
      })
        .pipe(Scope.provide(scope));
      partitions.push(yield* Effect.cached(open));
    }
    return new EntryClaims({ ...options, partitions, scope });
  });
}

interface EntryClaimsState extends EntryClaimsOptions {
  /** Partitions; each is opened at its first use. */
  readonly partitions: readonly Effect.Effect<ClaimPartition>[];
  readonly scope: Scope.Scope;
}

class EntryClaims implements ForwardingClaims {
  readonly #state: EntryClaimsState;
  readonly #queueLimit: FairQueueLimit;
  readonly #createRecordId: () => string;
  #unrecordedCount = 0;

  constructor(state: EntryClaimsState) {
    this.#state = state;
    this.#createRecordId = state.createRecordId ?? randomUUID;
    this.#queueLimit = new FairQueueLimit({
      maxWaitingCalls: state.maxWaitingCalls ?? DEFAULT_MAX_WAITING_CALLS,
    });
  }

  claim(
    call: ClaimedCall,
    options: { readonly waitMs: number },
  ): Effect.Effect<ClaimDecision, ClaimFailure> {
    const { organisation } = call;
    return Effect.suspend(() => {
      const isFull = this.#unrecordedCount >= MAX_UNRECORDED_OUTCOMES ||
        !this.#queueLimit.tryEnter(organisation);
      if (isFull) return Effect.fail(createQueueFullError());
      return Effect.ensuring(
        this.#adjustQueueLimit(this.#claimAdmitted(call, options.waitMs)),
        Effect.sync(() => this.#queueLimit.leave(organisation)),
      );
    });
  }

  recordOutcome(
    claim: { readonly key: ClaimedCall; readonly claimRecordId: string },
    outcome: CallOutcome,
  ): Effect.Effect<void> {
    const record: LogRecord = {
      kind: "outcome",
      recordId: this.#createRecordId(),
      claimRecordId: claim.claimRecordId,
      outcome,
    };
    return Effect.suspend(() => {
      this.#unrecordedCount += 1;
      return this.#getPartition(claim.key).pipe(
        Effect.flatMap(({ writer }) => appendOutcome(writer, record)),
        Effect.ensuring(Effect.sync(() => {
          this.#unrecordedCount -= 1;
        })),
        Effect.forkIn(this.#state.scope),
        Effect.asVoid,
      );
    });
  }

  #claimAdmitted(
    call: ClaimedCall,
    waitMs: number,
  ): Effect.Effect<ClaimDecision, ClaimFailure> {
    return Effect.flatMap(this.#getPartition(call), (partition) =>
      claimCall({
        ...partition,
        call,
        waitMs,
        processId: this.#state.processId,
        policy: this.#state.policy,
        createRecordId: this.#createRecordId,
        release: (claimRecordId) =>
          this.recordOutcome({ key: call, claimRecordId }, {
            state: "not-run",
          }),
      }));
  }

  /** Adjusts the limit of waiting calls to the log's throughput. */
  #adjustQueueLimit(
    decided: Effect.Effect<ClaimDecision, ClaimFailure>,
  ): Effect.Effect<ClaimDecision, ClaimFailure> {
    const noteTimeout = Effect.map(
      Clock.currentTimeMillis,
      (nowMs) => this.#queueLimit.noteTimeout(nowMs),
    );
    return decided.pipe(
      Effect.tapErrorTag("ClaimUnavailable", () => noteTimeout),
      Effect.tap(({ kind }) =>
        Effect.sync(() => {
          if (kind === "granted") this.#queueLimit.noteGrant();
        })
      ),
    );
  }

  #getPartition(call: ClaimedCall): Effect.Effect<ClaimPartition> {
    const { partitions } = this.#state;
    return partitions[selectClaimPartition(call, partitions.length)]!;
  }
}

interface PartitionOpening {
  readonly log: LogService;
  readonly options: EntryClaimsOptions;
  readonly limiter: AppendRateLimiter;
}

function createPartition(
  index: number,
  { log, options, limiter }: PartitionOpening,
): Effect.Effect<ClaimPartition, never, Scope.Scope> {
  const stream = `claims-${index}`;
  return Effect.gen(function* () {
    const view = yield* createClaimView({
      log,
      stream,
      policy: options.policy,
    });
    const writer = yield* createLogWriter({
      log,
      stream,
      rateLimiter: limiter,
      reachedOffset: () => view.reachedOffset(),
      settleTimeoutMs: options.policy.timeoutMs,
    });
    return { writer, view };
  });
}

/**
 * Appends an outcome with retries. A duplicate is harmless, as the first record
 * counts.
 */
function appendOutcome(
  writer: LogWriter,
  record: LogRecord,
): Effect.Effect<void> {
  const schedule = Schedule.spaced(OUTCOME_RETRY_DELAY_MS);
  return writer.append(record).pipe(
    Effect.retry({ schedule, times: OUTCOME_RETRIES }),
    Effect.ignore,
  );
}

function createQueueFullError(): ClaimUnavailable {
  return new ClaimUnavailable({
    message: "Too many calls are waiting for the log; retry with the same key",
    retryAfterMs: RETRY_AFTER_MS,
  });
}
