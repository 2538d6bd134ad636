import { Effect } from "effect";
import {
  AppendConflict,
  HistoryDropped,
  type KeyedAppend,
  type KeyedLog,
  type KeyedPage,
  type KeyedRecord,
  type KeyedTopic,
  type ReadFailure,
  StoreAnswerLost,
  StoreUnavailable,
} from "../keyed_log/index.ts";
import { BackendPools } from "../http/index.ts";
import {
  type CallFailure,
  type HttpResponse,
  sendRequest,
} from "./send_request.ts";
import {
  decode,
  type JsonObject,
  parseObject,
  readBoolean,
  readNumber,
  readObjects,
  readString,
} from "./json_fields.ts";
import { decodeRecords, encodeKeyedRecord } from "./record_codec.ts";
import { TOPIC_NAMES } from "./words.ts";

const CALL_TIMEOUT_MS = 1_500;
/** Time without an answer after which a read is repeated on a new connection. */
const REPEAT_READ_MS = 400;

/**
 * Client of the platform's store. Open connections may go silent all at once,
 * so none is used again after a call on one of them got no answer.
 */
export class StoreClient implements KeyedLog {
  readonly #address: string;
  readonly #pools = new BackendPools();

  constructor(options: { readonly address: string }) {
    this.#address = options.address;
  }

  readNewest(topic: KeyedTopic): Effect.Effect<KeyedPage, ReadFailure> {
    return Effect.gen({ self: this }, function* () {
      const records: KeyedRecord[] = [];
      let nextOffset: number | undefined;
      let after = "";
      while (true) {
        const query = `topic=${TOPIC_NAMES[topic]}&part=0${
          after === "" ? "" : `&after=${encodeURIComponent(after)}`
        }`;
        const path = `/log-newest?${query}`;
        const answer = yield* this.#read(path, path, 0);
        if (answer.status === NO_TOPIC_STATUS) return EMPTY_PAGE;
        const page = yield* decodeOk(answer, decodeNewest);
        records.push(...page.records);
        nextOffset ??= page.endOffset;
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
    options: { readonly fromOffset: number; readonly waitMs: number },
  ): Effect.Effect<KeyedPage, ReadFailure | HistoryDropped> {
    const { fromOffset, waitMs } = options;
    const path = `/log-read?topic=${
      TOPIC_NAMES[topic]
    }&part=0&from=${fromOffset}`;
    return this.#read(
      `${path}&wait_ms=${waitMs}`,
      `${path}&wait_ms=0`,
      waitMs,
    ).pipe(
      Effect.flatMap((answer): Effect.Effect<
        KeyedPage,
        ReadFailure | HistoryDropped
      > => {
        if (answer.status === GONE_STATUS) {
          return Effect.fail(
            new HistoryDropped({
              message:
                `The store no longer keeps the records of ${topic} from offset ${fromOffset} on; read the newest ones`,
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
  ): Effect.Effect<number, ReadFailure | AppendConflict> {
    const at = record.at === undefined ? "" : `&at=${record.at}`;
    return this.#call(
      "POST",
      `/log-append?topic=${TOPIC_NAMES[topic]}&part=0${at}`,
      { body: encodeKeyedRecord(record.key, record.value) },
    ).pipe(
      Effect.flatMap((answer): Effect.Effect<
        number,
        ReadFailure | AppendConflict
      > => {
        if (answer.status === CONFLICT_STATUS) {
          return decodeBody(answer, (body) => readNumber(body, "end")).pipe(
            Effect.flatMap((endOffset) =>
              Effect.fail(
                new AppendConflict({
                  endOffset,
                  message:
                    `${topic} ends at offset ${endOffset}, not where the append expected; read the new records and decide again`,
                }),
              )
            ),
          );
        }
        return decodeOk(answer, (body) => readNumber(body, "offset"));
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
  ): Effect.Effect<HttpResponse, ReadFailure> {
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
  ): Effect.Effect<HttpResponse, ReadFailure> {
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
    );
  }
}

const OK_STATUS = 200;
const NO_TOPIC_STATUS = 404;
const GONE_STATUS = 410;
const CONFLICT_STATUS = 412;
const EMPTY_PAGE: KeyedPage = { records: [], nextOffset: 0 };

interface NewestPage {
  readonly records: readonly KeyedRecord[];
  readonly hasMore: boolean;
  readonly endOffset: number;
}

function decodeNewest(body: JsonObject): NewestPage {
  return {
    records: readObjects(body, "items").map((item) => ({
      key: readString(item, "key"),
      value: Buffer.from(readString(item, "value"), "base64"),
      offset: readNumber(item, "offset"),
    })),
    hasMore: readBoolean(body, "has_more"),
    endOffset: readNumber(body, "end"),
  };
}

function decodeOk<Value>(
  answer: HttpResponse,
  read: (body: JsonObject) => Value,
): Effect.Effect<Value, ReadFailure> {
  if (answer.status !== OK_STATUS) return Effect.fail(toFailure(answer));
  return decodeBody(answer, read);
}

function decodeBody<Value>(
  answer: HttpResponse,
  read: (body: JsonObject) => Value,
): Effect.Effect<Value, ReadFailure> {
  return parseObject(answer.body.toString("utf8"))
    .chain((body) => decode(() => read(body)))
    .caseOf<Effect.Effect<Value, ReadFailure>>({
      Left: (message) =>
        Effect.fail(
          new StoreAnswerLost({
            message: `The store's response can't be decoded: ${message}`,
          }),
        ),
      Right: (value) => Effect.succeed(value),
    });
}

function toFailure(answer: HttpResponse): StoreUnavailable {
  return new StoreUnavailable({
    message: `The store answered with status ${answer.status}; retry later`,
  });
}

function toReadFailure(failure: CallFailure): ReadFailure {
  const { message } = failure;
  return failure.reason === "answer-lost"
    ? new StoreAnswerLost({ message })
    : new StoreUnavailable({ message });
}
