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
      records: store.readNewest(topic),
      nextOffset: store.endOffset(topic),
    }));
  }

  read(
    topic: KeyedTopic,
    options: { readonly fromOffset: number; readonly waitMs: number },
  ): Effect.Effect<KeyedPage, ReadFailure> {
    const { store, losesLongPolls } = this.#options;
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
      Effect.fail(
        new StoreAnswerLost({ message: "The response to the read was lost" }),
      ),
    );
    return Effect.flatMap(
      readNow,
      (page): Effect.Effect<KeyedPage, ReadFailure> => {
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
        return Effect.succeed(append.offset);
      }),
    );
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
