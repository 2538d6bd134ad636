import { Data, type Effect } from "effect";

/** Topics, named for their content. */
export type KeyedTopic = "config" | "instances" | "fleet";

/** The newest record of a key; without a value, the key was deleted. */
export interface KeyedRecord {
  readonly key: string;
  readonly value?: Buffer;
  readonly offset: number;
}

/** A record to append. */
export interface KeyedAppend {
  readonly key: string;
  /** Omitted to delete the key. */
  readonly value?: Buffer;
  /** Offset at which the topic must end; if omitted, the append is unconditional. */
  readonly at?: number;
}

/** A page of records in offset order. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  /** Offset at which the next read continues. */
  readonly nextOffset: number;
}

/** The store could not be reached or refused the call, which had no effect. */
export class StoreUnavailable extends Data.TaggedError("StoreUnavailable")<{
  readonly message: string;
}> {}

/** The answer was lost; an append may have taken effect, or may do so later. */
export class StoreAnswerLost extends Data.TaggedError("StoreAnswerLost")<{
  readonly message: string;
}> {}

/** The topic does not end at the offset that the append required. */
export class AppendConflict extends Data.TaggedError("AppendConflict")<{
  readonly message: string;
  readonly endOffset: number;
}> {}

/** Records from the requested offset on are no longer retained. */
export class HistoryDropped extends Data.TaggedError("HistoryDropped")<{
  readonly message: string;
}> {}

/** Failures of a read. */
export type ReadFailure = StoreUnavailable | StoreAnswerLost;

/** A compacted log, which keeps the newest record of each key. */
export interface KeyedLog {
  /** Reads the newest record of every key. */
  readNewest(topic: KeyedTopic): Effect.Effect<KeyedPage, ReadFailure>;
  /** Reads records from an offset on; waits up to `waitMs` for a first one. */
  read(
    topic: KeyedTopic,
    options: { readonly fromOffset: number; readonly waitMs: number },
  ): Effect.Effect<KeyedPage, ReadFailure | HistoryDropped>;
  /** Appends one record if the topic still ends at `at`; returns its offset. */
  append(
    topic: KeyedTopic,
    record: KeyedAppend,
  ): Effect.Effect<number, ReadFailure | AppendConflict>;
}
