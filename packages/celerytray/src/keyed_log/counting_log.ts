import type { Effect } from "effect";
import type {
  AppendConflict,
  HistoryDropped,
  KeyedAppend,
  KeyedLog,
  KeyedPage,
  KeyedTopic,
  ReadFailure,
} from "./keyed_log.ts";

/** Kinds of calls to a store. */
export type StoreCall = "newest" | "read" | "append";

/** Delegates to another log and reports each call. */
export class CountingLog implements KeyedLog {
  readonly #log: KeyedLog;
  readonly #onCall: (call: StoreCall, topic: KeyedTopic) => void;

  constructor(options: {
    readonly log: KeyedLog;
    readonly onCall: (call: StoreCall, topic: KeyedTopic) => void;
  }) {
    this.#log = options.log;
    this.#onCall = options.onCall;
  }

  readNewest(topic: KeyedTopic): Effect.Effect<KeyedPage, ReadFailure> {
    this.#onCall("newest", topic);
    return this.#log.readNewest(topic);
  }

  read(
    topic: KeyedTopic,
    options: { readonly fromOffset: number; readonly waitMs: number },
  ): Effect.Effect<KeyedPage, ReadFailure | HistoryDropped> {
    this.#onCall("read", topic);
    return this.#log.read(topic, options);
  }

  append(
    topic: KeyedTopic,
    record: KeyedAppend,
  ): Effect.Effect<number, ReadFailure | AppendConflict> {
    this.#onCall("append", topic);
    return this.#log.append(topic, record);
  }
}
