import type { LogRecord, StoredRecord } from "@celerytray/schema";
import { Data, type Effect } from "effect";

/** A stored record whose content was validated. */
export interface LogEntry extends Omit<StoredRecord, "record"> {
  readonly record: LogRecord;
}

/** A run of records in offset order. */
export interface LogPage {
  /** Oldest offset still kept by the log service. */
  readonly firstOffset: number;
  /** Offset at which the next read continues. */
  readonly nextOffset: number;
  /** Offset that the next append gets, if the service tells it. */
  readonly endOffset?: number;
  /** Valid records; records written by others or damaged are left out. */
  readonly entries: readonly LogEntry[];
}

/** Where and how long to read. */
export interface LogReadOptions {
  readonly fromOffset: number;
  readonly limit?: number;
  /** Longest wait for a first record. */
  readonly waitMs?: number;
}

/** The log service could not be reached, or refused; nothing was appended. */
export class LogUnavailable extends Data.TaggedError("LogUnavailable")<{
  readonly message: string;
}> {}

/** An append's answer was lost; it may or may not have taken effect. */
export class LogAnswerLost extends Data.TaggedError("LogAnswerLost")<{
  readonly message: string;
}> {}

/** Records from the offset asked for were removed by retention. */
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
