import { Effect } from "effect";
import { LogAnswerLost, type LogPage, type LogService } from "./log_service.ts";

/** Records whose append was not answered. */
export interface SettleAppendOptions {
  readonly log: LogService;
  readonly stream: string;
  /** The records stand at or after it, or nowhere; undefined reads all. */
  readonly fromOffset: number | undefined;
  readonly timeoutMs: number;
  /** Learns where a record stands; true once all are found. */
  readonly onFound: (recordId: string, offset: number) => boolean;
}

const READ_INTERVAL_MS = 50;

/**
 * Reads a stream for records whose append was not answered. Fails when not
 * all were found in time: the others may or may not still arrive.
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

/** A page, the offset to go on from, or undefined while the log is out. */
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
      "The log service did not say whether it took the record; read the stream before it is appended again",
  });
}
