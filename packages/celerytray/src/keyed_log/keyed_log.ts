import { Data, type Effect } from "effect";
import type { EraStart } from "./era_start.ts";
import type { LogPosition } from "./position.ts";

/** Topics, named for their content. */
export type KeyedTopic = "config" | "instances" | "fleet";

/** The newest record of a key; without a value, the key was deleted. */
export interface KeyedRecord {
  readonly key: string;
  readonly value?: Buffer;
  readonly offset: LogPosition;
}

/** A record to append. */
export interface KeyedAppend {
  readonly key: string;
  /** Omitted to delete the key. */
  readonly value?: Buffer;
  /**
   * Position at which the topic must end; if omitted, the append is
   * unconditional.
   */
  readonly at?: LogPosition;
}

/** A page of records in the order of their positions, all of one era. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  /** Position at which the next read continues. */
  readonly nextOffset: LogPosition;
  /** Start of the era of this page; absent where the log doesn't track it. */
  readonly eraStart?: EraStart;
}

/** The store could not be reached or refused the call, which had no effect. */
export class StoreUnavailable extends Data.TaggedError("StoreUnavailable")<{
  readonly message: string;
}> {}

/** The answer was lost; an append may have taken effect, or may do so later. */
export class StoreAnswerLost extends Data.TaggedError("StoreAnswerLost")<{
  readonly message: string;
}> {}

/** The topic does not end at the position that the append required. */
export class AppendConflict extends Data.TaggedError("AppendConflict")<{
  readonly message: string;
}> {}

/**
 * Records from the requested position on are no longer retained, or the store
 * came back from an older copy and the position is of an earlier era.
 */
export class HistoryDropped extends Data.TaggedError("HistoryDropped")<{
  readonly message: string;
  /** Era of the answer, if it is known. */
  readonly era?: number;
}> {}

/** Failures of a read. */
export type ReadFailure = StoreUnavailable | StoreAnswerLost;

/**
 * A compacted log, which keeps the newest record of each key. All offsets are
 * positions over the eras of the store.
 */
export interface KeyedLog {
  /** Reads the newest record of every key. */
  readNewest(topic: KeyedTopic): Effect.Effect<KeyedPage, ReadFailure>;
  /** Reads records from a position on; waits up to `waitMs` for a first one. */
  read(
    topic: KeyedTopic,
    options: { readonly fromOffset: LogPosition; readonly waitMs: number },
  ): Effect.Effect<KeyedPage, ReadFailure | HistoryDropped>;
  /** Appends one record if the topic still ends at `at`; returns its position. */
  append(
    topic: KeyedTopic,
    record: KeyedAppend,
  ): Effect.Effect<LogPosition, ReadFailure | AppendConflict>;
}
