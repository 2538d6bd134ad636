import { Effect } from "effect";
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
} from "../keyed_log/index.ts";
import { BackendPools } from "../http/index.ts";
import { readNumber } from "./json_fields.ts";
import { decodeRecords, encodeKeyedRecord } from "./record_codec.ts";
import { type HttpResponse, sendRequest } from "./send_request.ts";
import {
  CONFLICT_STATUS,
  createConflict,
  createEraFailure,
  decodeBody,
  decodeNewest,
  decodeOk,
  GONE_STATUS,
  NO_TOPIC_STATUS,
  OK_STATUS,
  type StoreAnswer,
  toFailure,
  toReadFailure,
} from "./store_answers.ts";
import { StoreEra, type StoreEraOptions } from "./store_era.ts";
import { TOPIC_NAMES } from "./words.ts";

const CALL_TIMEOUT_MS = 1_500;
/** Time without an answer after which a read is repeated on a new connection. */
const REPEAT_READ_MS = 400;

/**
 * Client of the platform's store. Open connections may go silent all at once,
 * so none is used again after a call on one of them got no answer. What holds
 * of one era of the store is never taken to hold of another one.
 */
export class StoreClient implements KeyedLog {
  readonly #address: string;
  readonly #pools = new BackendPools();
  readonly #era: StoreEra;

  constructor(options: { readonly address: string } & StoreEraOptions) {
    this.#address = options.address;
    this.#era = new StoreEra(options);
  }

  readNewest(topic: KeyedTopic): Effect.Effect<KeyedPage, ReadFailure> {
    return Effect.gen({ self: this }, function* () {
      const records: KeyedRecord[] = [];
      let nextOffset: LogPosition | undefined;
      let after = "";
      while (true) {
        const query = `topic=${TOPIC_NAMES[topic]}&part=0${
          after === "" ? "" : `&after=${encodeURIComponent(after)}`
        }`;
        const path = `/log-newest?${query}`;
        const answer = yield* this.#read(path, path, 0);
        const { era } = answer;
        if (nextOffset !== undefined && eraOf(nextOffset) !== era) {
          return yield* Effect.fail(createEraFailure(topic));
        }
        if (answer.status === NO_TOPIC_STATUS) {
          return {
            records: [],
            nextOffset: createPosition({ era, offset: 0 }),
          };
        }
        const page = yield* decodeOk(
          answer,
          (body) => decodeNewest(body, era),
        );
        records.push(...page.records);
        nextOffset ??= page.nextOffset;
        const last = page.records.at(-1);
        if (!page.hasMore || last === undefined) {
          return { records, nextOffset };
        }
        after = last.key;
      }
    });
  }

  read(
    topic: KeyedTopic,
    options: { readonly fromOffset: LogPosition; readonly waitMs: number },
  ): Effect.Effect<KeyedPage, ReadFailure | HistoryDropped> {
    const { fromOffset, waitMs } = options;
    const offset = offsetOf(fromOffset);
    const path = `/log-read?topic=${TOPIC_NAMES[topic]}&part=0&from=${offset}`;
    return this.#read(
      `${path}&wait_ms=${waitMs}`,
      `${path}&wait_ms=0`,
      waitMs,
    ).pipe(
      Effect.flatMap((answer): Effect.Effect<
        KeyedPage,
        ReadFailure | HistoryDropped
      > => {
        const { era } = answer;
        if (era !== eraOf(fromOffset)) {
          return Effect.fail(
            new HistoryDropped({
              era,
              message:
                `The store is in era ${era}, so ${topic} has other records than in era ${
                  eraOf(fromOffset)
                }; read the newest ones`,
            }),
          );
        }
        if (answer.status === GONE_STATUS) {
          return Effect.fail(
            new HistoryDropped({
              era,
              message:
                `The store no longer keeps the records of ${topic} from offset ${offset} on; read the newest ones`,
            }),
          );
        }
        if (answer.status === NO_TOPIC_STATUS) {
          return Effect.succeed({ records: [], nextOffset: fromOffset });
        }
        if (answer.status !== OK_STATUS) return Effect.fail(toFailure(answer));
        return decodeRecords(answer.body, fromOffset).caseOf<
          Effect.Effect<KeyedPage, ReadFailure>
        >({
          Left: (message) => Effect.fail(new StoreAnswerLost({ message })),
          Right: (page) => Effect.succeed(page),
        });
      }),
    );
  }

  append(
    topic: KeyedTopic,
    record: KeyedAppend,
  ): Effect.Effect<LogPosition, ReadFailure | AppendConflict> {
    const { at, key, value } = record;
    if (at !== undefined && eraOf(at) !== this.#era.current) {
      return Effect.fail(createConflict(topic, this.#era.current));
    }
    const condition = at === undefined ? "" : `&at=${offsetOf(at)}`;
    return this.#call(
      "POST",
      `/log-append?topic=${TOPIC_NAMES[topic]}&part=0${condition}`,
      { body: encodeKeyedRecord(key, value) },
    ).pipe(
      Effect.flatMap((answer): Effect.Effect<
        LogPosition,
        ReadFailure | AppendConflict
      > => {
        const { era } = answer;
        if (answer.status === CONFLICT_STATUS) {
          return decodeBody(answer, (body) => readNumber(body, "end")).pipe(
            Effect.flatMap((endOffset) =>
              Effect.fail(
                new AppendConflict({
                  message:
                    `${topic} ends at offset ${endOffset}, not where the append expected; read the new records and decide again`,
                }),
              )
            ),
          );
        }
        // The store may have stored it after other records than its writer knew.
        if (at !== undefined && era !== eraOf(at)) {
          return Effect.fail(createEraFailure(topic));
        }
        return decodeOk(
          answer,
          (body) => createPosition({ era, offset: readNumber(body, "offset") }),
        );
      }),
    );
  }

  /**
   * Sends a read that the store may hold for `waitMs`, and repeats it on a new
   * connection if it gets no answer.
   */
  #read(
    path: string,
    repeatedPath: string,
    waitMs: number,
  ): Effect.Effect<StoreAnswer, ReadFailure> {
    const repeat = Effect.sleep(waitMs + REPEAT_READ_MS).pipe(
      Effect.andThen(Effect.sync(() => this.#pools.discard(this.#address))),
      Effect.andThen(Effect.suspend(() => this.#call("GET", repeatedPath))),
    );
    return Effect.raceFirst(this.#call("GET", path, { waitMs }), repeat);
  }

  #call(
    method: "GET" | "POST",
    path: string,
    options: { readonly body?: Buffer; readonly waitMs?: number } = {},
  ): Effect.Effect<StoreAnswer, ReadFailure> {
    return sendRequest({
      address: this.#address,
      method,
      path,
      ...(options.body === undefined ? {} : { body: options.body }),
      timeoutMs: CALL_TIMEOUT_MS + (options.waitMs ?? 0),
      agent: this.#pools.agentFor(this.#address),
    }).pipe(
      Effect.tapError(() =>
        Effect.sync(() => this.#pools.discard(this.#address))
      ),
      Effect.mapError(toReadFailure),
      Effect.flatMap((response) => this.#noteEra(response)),
    );
  }

  /** Adds the store's era to an answer; one of an earlier era counts as lost. */
  #noteEra(response: HttpResponse): Effect.Effect<StoreAnswer, ReadFailure> {
    const era = this.#era.note(response.headers);
    if (era !== undefined) return Effect.succeed({ ...response, era });
    return Effect.fail(
      new StoreAnswerLost({
        message:
          `The store's answer is of an era before ${this.#era.current}; call again`,
      }),
    );
  }
}
