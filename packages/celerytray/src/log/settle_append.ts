import { Effect } from "effect";
import { LogAnswerLost, type LogPage, type LogService } from "./log_service.ts";

/** Options of the search for records whose append was not answered. */
export interface SettleAppendOptions {
  readonly log: LogService;
  readonly stream: string;
  /** Lower bound of the records' offsets; undefined reads the whole stream. */
  readonly fromOffset: number | undefined;
  readonly timeoutMs: number;
  /** Called for each record read; returns true once all are found. */
  readonly onFound: (recordId: string, offset: number) => boolean;
}

const READ_INTERVAL_MS = 50;

/**
 * Searches a stream for records whose append was not answered. Fails if not all
 * are found in time, as the others may still be appended.
 */
export function settleAppend(
  options: SettleAppendOptions,
): Effect.Effect<void, LogAnswerLost> {
  return readUntilFound(options).pipe(
    Effect.timeoutOrElse({
      duration: options.timeoutMs,
      orElse: () => Effect.fail(createLostError()),
    }),
  );
}

function readUntilFound(
  options: SettleAppendOptions,
): Effect.Effect<void, LogAnswerLost> {
  return Effect.gen(function* () {
    let fromOffset = options.fromOffset ?? 0;
    while (true) {
      const page = yield* readFrom(fromOffset, options);
      if (typeof page === "number") {
        fromOffset = page;
        continue;
      }
      for (const { record, offset } of page?.entries ?? []) {
        if (options.onFound(record.recordId, offset)) return;
      }
      const isEnd = page === undefined || page.nextOffset === fromOffset;
      fromOffset = page?.nextOffset ?? fromOffset;
      if (isEnd) yield* Effect.sleep(READ_INTERVAL_MS);
    }
  });
}

/**
 * Reads a page. Returns the first retained offset if retention removed the
 * requested one, or undefined while the log is unavailable.
 */
function readFrom(
  fromOffset: number,
  options: SettleAppendOptions,
): Effect.Effect<LogPage | number | undefined, LogAnswerLost> {
  return options.log.read(options.stream, { fromOffset }).pipe(
    Effect.catchTag("LogUnavailable", () => Effect.succeed(undefined)),
    Effect.catchTag(
      "LogTruncated",
      ({ firstOffset }) =>
        options.fromOffset === undefined
          ? Effect.succeed(firstOffset)
          : Effect.fail(createLostError()),
    ),
  );
}

function createLostError(): LogAnswerLost {
  return new LogAnswerLost({
    message:
      "The log service did not confirm whether it appended the record; read the stream before appending it again",
  });
}
