import type { LogRecord, StoredRecord } from "@celerytray/schema";
import { Data, type Effect } from "effect";

/** A stored record with validated content. */
export interface LogEntry extends Omit<StoredRecord, "record"> {
  readonly record: LogRecord;
}

/** A page of records in offset order. */
export interface LogPage {
  /** Oldest offset that the log service retains. */
  readonly firstOffset: number;
  /** Offset at which the next read continues. */
  readonly nextOffset: number;
  /** Offset of the next append, if the service reports it. */
  readonly endOffset?: number;
  /** Valid records; records of unknown kinds and damaged ones are omitted. */
  readonly entries: readonly LogEntry[];
}

/** Start and limits of a read. */
export interface LogReadOptions {
  readonly fromOffset: number;
  readonly limit?: number;
  /** Maximum wait for a first record. */
  readonly waitMs?: number;
}

/** The log service could not be reached or refused; nothing was appended. */
export class LogUnavailable extends Data.TaggedError("LogUnavailable")<{
  readonly message: string;
}> {}

/** An append's answer was lost; it may or may not have taken effect. */
export class LogAnswerLost extends Data.TaggedError("LogAnswerLost")<{
  readonly message: string;
}> {}

/** Retention removed records from the requested offset on. */
export class LogTruncated extends Data.TaggedError("LogTruncated")<{
  readonly message: string;
  readonly firstOffset: number;
}> {}

/** Any failure of the log service. */
export type LogError = LogUnavailable | LogAnswerLost | LogTruncated;

/** The platform's append-only log service. */
export interface LogService {
  /** Appends a batch in order and returns the offset of its first record. */
  append(
    stream: string,
    records: readonly LogRecord[],
  ): Effect.Effect<number, LogUnavailable | LogAnswerLost>;
  /** Reads records from an offset on. */
  read(
    stream: string,
    options: LogReadOptions,
  ): Effect.Effect<LogPage, LogUnavailable | LogTruncated>;
}
