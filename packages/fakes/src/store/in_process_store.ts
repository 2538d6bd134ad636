import {
  AppendConflict,
  type KeyedAppend,
  type KeyedLog,
  type KeyedPage,
  type KeyedTopic,
  type ReadFailure,
  StoreAnswerLost,
  StoreUnavailable,
} from "celerytray";
import { Effect } from "effect";
import type { FakeKeyedStore } from "./fake_keyed_store.ts";

const CALL_MS = 4;
const TIMEOUT_MS = 1_500;

/** How one process meets the store. */
export interface InProcessStoreOptions {
  readonly store: FakeKeyedStore;
  /** Whether the process is cut off from the store. */
  readonly isDisconnected?: () => boolean;
  /** Whether a read that waits for a record gets no answer. */
  readonly losesLongPolls?: () => boolean;
}

/** A stand-in's store without HTTP, on effect's clock, for tests. */
export class InProcessStore implements KeyedLog {
  readonly #options: InProcessStoreOptions;

  constructor(options: InProcessStoreOptions) {
    this.#options = options;
  }

  readNewest(topic: KeyedTopic): Effect.Effect<KeyedPage, ReadFailure> {
    const { store } = this.#options;
    return this.#call(() => ({
      records: store.readNewest(topic),
      nextOffset: store.endOf(topic),
    }));
  }

  read(
    topic: KeyedTopic,
    options: { readonly fromOffset: number; readonly waitMs: number },
  ): Effect.Effect<KeyedPage, ReadFailure> {
    const { store, losesLongPolls: losesWaits } = this.#options;
    const readNow = this.#call((): KeyedPage => {
      const records = store.read(topic, options.fromOffset);
      return { records, nextOffset: options.fromOffset + records.length };
    });
    const awaitRecord = Effect.callback<void>((resume) => {
      const stop = store.onAppend(topic, () => resume(Effect.void));
      return Effect.sync(stop);
    }).pipe(Effect.timeoutOption(options.waitMs));
    const loseAnswer = Effect.andThen(
      Effect.sleep(options.waitMs + TIMEOUT_MS),
      Effect.fail(new StoreAnswerLost({ message: "The answer is lost" })),
    );
    return Effect.flatMap(
      readNow,
      (page): Effect.Effect<KeyedPage, ReadFailure> => {
        if (page.records.length > 0 || options.waitMs === 0) {
          return Effect.succeed(page);
        }
        return losesWaits?.() === true
          ? loseAnswer
          : Effect.andThen(awaitRecord, readNow);
      },
    );
  }

  append(
    topic: KeyedTopic,
    record: KeyedAppend,
  ): Effect.Effect<number, ReadFailure | AppendConflict> {
    const { store } = this.#options;
    return this.#call(() => store.append(topic, record)).pipe(
      Effect.flatMap((append): Effect.Effect<
        number,
        ReadFailure | AppendConflict
      > => {
        if (append.kind === "conflict") {
          const { endOffset } = append;
          return Effect.fail(
            new AppendConflict({
              endOffset,
              message: `The topic ends at ${endOffset}`,
            }),
          );
        }
        if (store.faults.losesAnswers === true) {
          return Effect.andThen(
            Effect.sleep(TIMEOUT_MS),
            Effect.fail(new StoreAnswerLost({ message: "The answer is lost" })),
          );
        }
        return Effect.succeed(append.offset);
      }),
    );
  }

  #call<Value>(run: () => Value): Effect.Effect<Value, ReadFailure> {
    const { store, isDisconnected: isCut } = this.#options;
    return Effect.suspend((): Effect.Effect<Value, ReadFailure> => {
      if (isCut?.() === true) {
        return Effect.andThen(
          Effect.sleep(TIMEOUT_MS),
          Effect.fail(
            new StoreUnavailable({ message: "The store is cut off" }),
          ),
        );
      }
      if (store.faults.isOut === true) {
        return Effect.fail(
          new StoreUnavailable({ message: "The store is out" }),
        );
      }
      return Effect.andThen(Effect.sleep(CALL_MS), Effect.sync(run));
    });
  }
}
