import type { LogRecord } from "@celerytray/schema";
import { Clock, Deferred, Effect, Queue, type Scope } from "effect";
import type { AppendRateLimiter } from "./append_rate_limiter.ts";
import {
  LogAnswerLost,
  type LogService,
  LogUnavailable,
} from "./log_service.ts";
import { settleAppend } from "./settle_append.ts";

/** Appends records to one stream, with one batch in flight at a time. */
export interface LogWriter {
  /**
   * Appends a record and returns its offset. After `LogUnavailable` it was not
   * appended and never will be; after `LogAnswerLost` it may be.
   */
  append(
    record: LogRecord,
    options?: AppendOptions,
  ): Effect.Effect<number, LogUnavailable | LogAnswerLost>;
}

/** Options of one append. */
export interface AppendOptions {
  readonly timeoutMs?: number;
}

/** Options of a log writer. */
export interface LogWriterOptions {
  readonly log: LogService;
  readonly stream: string;
  /** Maximum number of records in one batch. */
  readonly maxBatchRecords?: number;
  /** Maximum number of waiting records; further ones are refused. */
  readonly maxWaitingRecords?: number;
  /** Rate limit that this writer shares with others. */
  readonly rateLimiter?: AppendRateLimiter;
  /** An offset that the stream is known to have reached. */
  readonly reachedOffset?: () => number;
  /** Maximum time to search for records whose append was not answered. */
  readonly settleTimeoutMs?: number;
}

type Settled = Deferred.Deferred<number, LogUnavailable | LogAnswerLost>;

interface WaitingRecord {
  readonly record: LogRecord;
  readonly settled: Settled;
  /** Whether it was removed from the queue before it was sent. */
  isWithdrawn: boolean;
}

const DEFAULT_MAX_BATCH_RECORDS = 500;
const DEFAULT_MAX_WAITING_RECORDS = 5_000;
const DEFAULT_SETTLE_TIMEOUT_MS = 5_000;

/**
 * Creates a writer that batches: records that arrive while an append is in
 * flight are sent together in the next one.
 */
export function createLogWriter(
  options: LogWriterOptions,
): Effect.Effect<LogWriter, never, Scope.Scope> {
  return Effect.gen(function* () {
    const added = yield* Queue.sliding<void>(1);
    const writer = new BatchWriter(options, added);
    yield* Effect.forkScoped(writer.run());
    return writer;
  });
}

class BatchWriter implements LogWriter {
  readonly #options: LogWriterOptions;
  readonly #added: Queue.Queue<void>;
  readonly #waiting = new Set<WaitingRecord>();
  #reachedOffset: number | undefined;

  constructor(options: LogWriterOptions, added: Queue.Queue<void>) {
    this.#options = options;
    this.#added = added;
  }

  append(
    record: LogRecord,
    options: AppendOptions = {},
  ): Effect.Effect<number, LogUnavailable | LogAnswerLost> {
    return Effect.suspend(() => {
      const { maxWaitingRecords = DEFAULT_MAX_WAITING_RECORDS } = this.#options;
      if (this.#waiting.size >= maxWaitingRecords) {
        return Effect.fail(createUnavailable("Too many records are waiting"));
      }
      const settled: Settled = Deferred.makeUnsafe();
      const waiting = { record, settled, isWithdrawn: false };
      this.#waiting.add(waiting);
      Queue.offerUnsafe(this.#added, undefined);
      const wait = Deferred.await(settled).pipe(
        Effect.onInterrupt(() => Effect.sync(() => this.#withdraw(waiting))),
      );
      const { timeoutMs } = options;
      if (timeoutMs === undefined) return wait;
      return Effect.timeoutOrElse(wait, {
        duration: timeoutMs,
        orElse: () => Effect.fail(this.#createTimeoutError(waiting)),
      });
    });
  }

  /** Appends batches until interrupted. */
  run(): Effect.Effect<never> {
    const appendNext = Effect.gen({ self: this }, function* () {
      if (this.#waiting.size === 0) return yield* Queue.take(this.#added);
      yield* this.#awaitRateLimit();
      const batch = this.#takeBatch();
      if (batch.length > 0) yield* this.#appendBatch(batch);
    });
    return Effect.forever(appendNext);
  }

  /** Removes a record from the queue unless it was sent. */
  #withdraw(waiting: WaitingRecord): void {
    if (this.#waiting.delete(waiting)) waiting.isWithdrawn = true;
  }

  #createTimeoutError(
    waiting: WaitingRecord,
  ): LogUnavailable | LogAnswerLost {
    this.#withdraw(waiting);
    if (waiting.isWithdrawn) {
      return createUnavailable("The log service is slow or unavailable");
    }
    return new LogAnswerLost({
      message: "The log service did not answer in time; retry later",
    });
  }

  #awaitRateLimit(): Effect.Effect<void> {
    const { rateLimiter } = this.#options;
    if (rateLimiter === undefined) return Effect.void;
    return Effect.flatMap(Clock.currentTimeMillis, (nowMs) => {
      const waitMs = rateLimiter.reserve(nowMs);
      return waitMs > 0 ? Effect.sleep(waitMs) : Effect.void;
    });
  }

  #takeBatch(): WaitingRecord[] {
    const maxBatch = this.#options.maxBatchRecords ?? DEFAULT_MAX_BATCH_RECORDS;
    const batch: WaitingRecord[] = [];
    for (const waiting of this.#waiting) {
      if (batch.length === maxBatch) break;
      this.#waiting.delete(waiting);
      batch.push(waiting);
    }
    return batch;
  }

  #appendBatch(batch: readonly WaitingRecord[]): Effect.Effect<void> {
    const { log, stream } = this.#options;
    const fromOffset = this.#findReachedOffset();
    return log.append(stream, batch.map(({ record }) => record)).pipe(
      Effect.matchEffect({
        onSuccess: (firstOffset) =>
          Effect.sync(() => {
            batch.forEach(({ settled }, index) =>
              succeed(settled, firstOffset + index)
            );
            this.#reachedOffset = firstOffset + batch.length;
          }),
        onFailure: (error) =>
          error._tag === "LogUnavailable"
            ? Effect.sync(() => failBatch(batch, error))
            : this.#settle(batch, fromOffset),
      }),
    );
  }

  #findReachedOffset(): number | undefined {
    const knownOffset = this.#options.reachedOffset?.();
    if (knownOffset === undefined) return this.#reachedOffset;
    return Math.max(knownOffset, this.#reachedOffset ?? 0);
  }

  #settle(
    batch: readonly WaitingRecord[],
    fromOffset: number | undefined,
  ): Effect.Effect<void> {
    const { log, stream } = this.#options;
    const missing = new Map(
      batch.map(({ record, settled }) => [record.recordId, settled]),
    );
    return settleAppend({
      log,
      stream,
      fromOffset,
      timeoutMs: this.#options.settleTimeoutMs ?? DEFAULT_SETTLE_TIMEOUT_MS,
      onFound: (recordId, offset) => {
        const settled = missing.get(recordId);
        if (settled === undefined) return false;
        succeed(settled, offset);
        missing.delete(recordId);
        return missing.size === 0;
      },
    }).pipe(
      Effect.catchTag("LogAnswerLost", (error) =>
        Effect.sync(() => {
          for (const settled of missing.values()) {
            Deferred.doneUnsafe(settled, Effect.fail(error));
          }
        })),
    );
  }
}

function succeed(settled: Settled, offset: number): void {
  Deferred.doneUnsafe(settled, Effect.succeed(offset));
}

function failBatch(
  batch: readonly WaitingRecord[],
  error: LogUnavailable,
): void {
  for (const { settled } of batch) {
    Deferred.doneUnsafe(settled, Effect.fail(error));
  }
}

function createUnavailable(reason: string): LogUnavailable {
  return new LogUnavailable({ message: `${reason}; retry later` });
}
