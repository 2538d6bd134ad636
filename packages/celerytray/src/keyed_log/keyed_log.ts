import { Data, type Effect } from "effect";

/** What the topics of the store hold. */
export type KeyedTopic = "config" | "instances" | "fleet";

/** The newest content of a key at its offset; no value once it was dropped. */
export interface KeyedRecord {
  readonly key: string;
  readonly value?: Buffer;
  readonly offset: number;
}

/** A record to append. */
export interface KeyedAppend {
  readonly key: string;
  /** No value drops the key. */
  readonly value?: Buffer;
  /** Offset at which the topic must end; anywhere without it. */
  readonly at?: number;
}

/** A run of records in offset order. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  /** Offset at which the next read continues. */
  readonly nextOffset: number;
}

/** The store could not be reached or refused the call; nothing was done. */
export class StoreUnavailable extends Data.TaggedError("StoreUnavailable")<{
  readonly message: string;
}> {}

/** The answer was lost; an append may have taken or may yet take effect. */
export class StoreAnswerLost extends Data.TaggedError("StoreAnswerLost")<{
  readonly message: string;
}> {}

/** The topic ends elsewhere than the append asked for. */
export class AppendConflict extends Data.TaggedError("AppendConflict")<{
  readonly message: string;
  readonly endOffset: number;
}> {}

/** Records from the offset asked for are no longer kept. */
export class HistoryDropped extends Data.TaggedError("HistoryDropped")<{
  readonly message: string;
}> {}

/** Failures of a read. */
export type ReadFailure = StoreUnavailable | StoreAnswerLost;

/** A store that keeps the newest record of each key. */
export interface KeyedLog {
  /** The newest record of every key, and the offset to read on from. */
  readNewest(topic: KeyedTopic): Effect.Effect<KeyedPage, ReadFailure>;
  /** Records from an offset on; waits for a first one. */
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
