import {
  AppendConflict,
  createPosition,
  eraOf,
  HistoryDropped,
  type KeyedAppend,
  type KeyedLog,
  type KeyedPage,
  type KeyedRecord,
  type KeyedTopic,
  type LogPosition,
  offsetOf,
  type ReadFailure,
  StoreAnswerLost,
  StoreUnavailable,
} from "celerytray";
import { Effect } from "effect";
import type { FakeKeyedStore } from "./fake_keyed_store.ts";

const CALL_LATENCY_MS = 4;
const TIMEOUT_MS = 1_500;

/** Connection of one process to the store. */
export interface InProcessStoreOptions {
  readonly store: FakeKeyedStore;
  /** Whether the process cannot reach the store. */
  readonly isDisconnected?: () => boolean;
  /** Whether reads that wait for a record get no response. */
  readonly losesLongPolls?: () => boolean;
}

/** A fake store as a process's store client, without HTTP and on Effect's clock. */
export class InProcessStore implements KeyedLog {
  readonly #options: InProcessStoreOptions;

  constructor(options: InProcessStoreOptions) {
    this.#options = options;
  }

  readNewest(topic: KeyedTopic): Effect.Effect<KeyedPage, ReadFailure> {
    const { store } = this.#options;
    return this.#call(() => ({
      records: store.readNewest(topic).map((record) => this.#place(record)),
      nextOffset: this.#positionOf(store.endOffset(topic)),
    }));
  }

  read(
    topic: KeyedTopic,
    options: { readonly fromOffset: LogPosition; readonly waitMs: number },
  ): Effect.Effect<KeyedPage, ReadFailure | HistoryDropped> {
    const { store, losesLongPolls } = this.#options;
    const { fromOffset } = options;
    const readNow = Effect.flatMap(
      this.#call(() => store.read(topic, offsetOf(fromOffset))),
      (records): Effect.Effect<KeyedPage, HistoryDropped> =>
        eraOf(fromOffset) === store.era
          ? Effect.succeed({
            records: records.map((record) => this.#place(record)),
            nextOffset: fromOffset + records.length,
          })
          : Effect.fail(
            new HistoryDropped({ message: "The position is of another era" }),
          ),
    );
    const awaitRecord = Effect.callback<void>((resume) => {
      const stop = store.onAppend(topic, () => resume(Effect.void));
      return Effect.sync(stop);
    }).pipe(Effect.timeoutOption(options.waitMs));
    const loseAnswer = Effect.andThen(
      Effect.sleep(options.waitMs + TIMEOUT_MS),
      Effect.fail(
        new StoreAnswerLost({ message: "The response to the read was lost" }),
      ),
    );
    return Effect.flatMap(
      readNow,
      (page): Effect.Effect<KeyedPage, ReadFailure | HistoryDropped> => {
        if (page.records.length > 0 || options.waitMs === 0) {
          return Effect.succeed(page);
        }
        return losesLongPolls?.() === true
          ? loseAnswer
          : Effect.andThen(awaitRecord, readNow);
      },
    );
  }

  append(
    topic: KeyedTopic,
    record: KeyedAppend,
  ): Effect.Effect<LogPosition, ReadFailure | AppendConflict> {
    const { store } = this.#options;
    const { at, ...stored } = record;
    const append = () => {
      const endOffset = store.endOffset(topic);
      return at !== undefined && at !== this.#positionOf(endOffset)
        ? { kind: "conflict" as const, endOffset }
        : store.append(topic, stored);
    };
    return this.#call(append).pipe(
      Effect.flatMap((append): Effect.Effect<
        LogPosition,
        ReadFailure | AppendConflict
      > => {
        if (append.kind === "conflict") {
          const { endOffset } = append;
          return Effect.fail(
            new AppendConflict({
              message: `Append conflict: the topic ends at offset ${endOffset}`,
            }),
          );
        }
        if (store.faults.losesAnswers === true) {
          return Effect.andThen(
            Effect.sleep(TIMEOUT_MS),
            Effect.fail(
              new StoreAnswerLost({
                message:
                  "The response to the append was lost; the append took effect",
              }),
            ),
          );
        }
        return Effect.succeed(this.#positionOf(append.offset));
      }),
    );
  }

  #positionOf(offset: number): LogPosition {
    return createPosition({ era: this.#options.store.era, offset });
  }

  #place(record: KeyedRecord): KeyedRecord {
    return { ...record, offset: this.#positionOf(record.offset) };
  }

  #call<Value>(run: () => Value): Effect.Effect<Value, ReadFailure> {
    const { store, isDisconnected } = this.#options;
    return Effect.suspend((): Effect.Effect<Value, ReadFailure> => {
      if (isDisconnected?.() === true) {
        return Effect.andThen(
          Effect.sleep(TIMEOUT_MS),
          Effect.fail(
            new StoreUnavailable({ message: "The store cannot be reached" }),
          ),
        );
      }
      if (store.faults.isOut === true) {
        return Effect.fail(
          new StoreUnavailable({ message: "The store is unavailable" }),
        );
      }
      return Effect.andThen(Effect.sleep(CALL_LATENCY_MS), Effect.sync(run));
    });
  }
}
