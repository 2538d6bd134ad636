import { Effect } from "effect";
import { steadyMs } from "../clock/index.ts";
import type {
  AppendConflict,
  HistoryDropped,
  KeyedAppend,
  KeyedLog,
  KeyedPage,
  KeyedTopic,
  ReadFailure,
} from "./keyed_log.ts";
import { eraOf, type LogPosition } from "./position.ts";

/**
 * Delegates to another log, and says with each page when the first answer of its
 * era came, to whatever call.
 */
export class EraTrackingLog implements KeyedLog {
  readonly #log: KeyedLog;
  #era = -1;
  /** Time of the first answer of the era. */
  #sinceMs = 0;

  constructor(log: KeyedLog) {
    this.#log = log;
  }

  readNewest(topic: KeyedTopic): Effect.Effect<KeyedPage, ReadFailure> {
    return Effect.flatMap(
      this.#log.readNewest(topic),
      (page) => this.#addEraStart(page),
    );
  }

  read(
    topic: KeyedTopic,
    options: { readonly fromOffset: LogPosition; readonly waitMs: number },
  ): Effect.Effect<KeyedPage, ReadFailure | HistoryDropped> {
    return this.#log.read(topic, options).pipe(
      Effect.tapError((failure) =>
        failure._tag === "HistoryDropped" && failure.era !== undefined
          ? this.#note(failure.era)
          : Effect.void
      ),
      Effect.flatMap((page) => this.#addEraStart(page)),
    );
  }

  append(
    topic: KeyedTopic,
    record: KeyedAppend,
  ): Effect.Effect<LogPosition, ReadFailure | AppendConflict> {
    return this.#log.append(topic, record).pipe(
      Effect.tap((position) => this.#note(eraOf(position))),
    );
  }

  #addEraStart(page: KeyedPage): Effect.Effect<KeyedPage> {
    const { nextOffset: copyEnd } = page;
    return Effect.map(this.#note(eraOf(copyEnd)), () => ({
      ...page,
      eraStart: { copyEnd, returnedAtMs: this.#sinceMs },
    }));
  }

  #note(era: number): Effect.Effect<void> {
    return Effect.map(steadyMs, (nowMs) => {
      if (era <= this.#era) return;
      this.#era = era;
      this.#sinceMs = nowMs;
    });
  }
}
