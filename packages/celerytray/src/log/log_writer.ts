import type { LogRecord } from "@celerytray/schema";
import { Deferred, Effect, Queue, type Scope } from "effect";
import {
  LogAnswerLost,
  type LogService,
  LogUnavailable,
} from "./log_service.ts";

/** Appends records to one stream, one batch in flight at a time. */
export interface LogWriter {
  /** Appends a record; succeeds with its offset. */
  append(
    record: LogRecord,
  ): Effect.Effect<number, LogUnavailable | LogAnswerLost>;
}

/** Options of a writer. */
export interface LogWriterOptions {
  readonly log: LogService;
  readonly stream: string;
  /** Records in one append. */
  readonly maxBatchRecords?: number;
  /** Records waiting; more are refused at once. */
  readonly maxWaitingRecords?: number;
}

interface WaitingRecord {
  readonly record: LogRecord;
  readonly settled: Deferred.Deferred<number, LogUnavailable | LogAnswerLost>;
}

const DEFAULT_MAX_BATCH_RECORDS = 500;
const DEFAULT_MAX_WAITING_RECORDS = 5_000;

/**
 * Creates a writer that batches: while an append is in flight, further
 * records wait and travel together in the next one.
 */
export function createLogWriter(
  options: LogWriterOptions,
): Effect.Effect<LogWriter, never, Scope.Scope> {
  return Effect.gen(function* () {
    const maxBatch = options.maxBatchRecords ?? DEFAULT_MAX_BATCH_RECORDS;
    const capacity = options.maxWaitingRecords ?? DEFAULT_MAX_WAITING_RECORDS;
    const waiting = yield* Queue.dropping<WaitingRecord>(capacity);
    const appendNextBatch = Effect.gen(function* () {
      const batch = yield* Queue.takeBetween(waiting, 1, maxBatch);
      yield* appendBatch(options, batch);
    });
    yield* Effect.forkScoped(Effect.forever(appendNextBatch));
    return { append: (record) => enqueue(waiting, record) };
  });
}

function enqueue(
  waiting: Queue.Queue<WaitingRecord>,
  record: LogRecord,
): Effect.Effect<number, LogUnavailable | LogAnswerLost> {
  return Effect.gen(function* () {
    const settled = yield* Deferred.make<
      number,
      LogUnavailable | LogAnswerLost
    >();
    const accepted = yield* Queue.offer(waiting, { record, settled });
    if (!accepted) {
      return yield* new LogUnavailable({
        message: "Too many records wait for the log; retry later",
      });
    }
    return yield* Deferred.await(settled);
  });
}

function appendBatch(
  options: LogWriterOptions,
  batch: readonly WaitingRecord[],
): Effect.Effect<void> {
  const records = batch.map((waiting) => waiting.record);
  return options.log.append(options.stream, records).pipe(
    Effect.matchEffect({
      onSuccess: (firstOffset) =>
        Effect.forEach(
          batch,
          (waiting, index) =>
            Deferred.succeed(waiting.settled, firstOffset + index),
          { discard: true },
        ),
      onFailure: (error) =>
        Effect.forEach(
          batch,
          (waiting) => Deferred.fail(waiting.settled, error),
          { discard: true },
        ),
    }),
  );
}
