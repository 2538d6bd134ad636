/** Statuses, bodies and failures of the store's answers. */
import { Effect } from "effect";
import {
  AppendConflict,
  createPosition,
  type KeyedPage,
  type KeyedTopic,
  type ReadFailure,
  StoreAnswerLost,
  StoreUnavailable,
} from "../keyed_log/index.ts";
import {
  decode,
  type JsonObject,
  parseObject,
  readBoolean,
  readNumber,
  readObjects,
  readString,
} from "./json_fields.ts";
import type { CallFailure, HttpResponse } from "./send_request.ts";

/** An answer, and the era of the store that gave it. */
export interface StoreAnswer extends HttpResponse {
  readonly era: number;
}

export const OK_STATUS = 200;
export const NO_TOPIC_STATUS = 404;
export const GONE_STATUS = 410;
export const CONFLICT_STATUS = 412;

/** A page of the newest records. */
export interface NewestPage extends KeyedPage {
  readonly hasMore: boolean;
}

/** Decodes a page of the newest records; throws if it can't be read. */
export function decodeNewest(body: JsonObject, era: number): NewestPage {
  const positionOf = (offset: number) => createPosition({ era, offset });
  return {
    records: readObjects(body, "items").map((item) => ({
      key: readString(item, "key"),
      value: Buffer.from(readString(item, "value"), "base64"),
      offset: positionOf(readNumber(item, "offset")),
    })),
    hasMore: readBoolean(body, "has_more"),
    nextOffset: positionOf(readNumber(body, "end")),
  };
}

/** The failure of a call that met two eras, so that its outcome is unknown. */
export function createEraFailure(topic: KeyedTopic): StoreAnswerLost {
  return new StoreAnswerLost({
    message:
      `The store came back from an older copy during a call for ${topic}; read the newest records and decide again`,
  });
}

/** The failure of an append that was decided on in another era. */
export function createConflict(topic: KeyedTopic, era: number): AppendConflict {
  return new AppendConflict({
    message:
      `The store is in era ${era}, so ${topic} does not end where the append expected; read the newest records and decide again`,
  });
}

/** Decodes the body of an answer of 200; others fail. */
export function decodeOk<Value>(
  answer: HttpResponse,
  read: (body: JsonObject) => Value,
): Effect.Effect<Value, ReadFailure> {
  if (answer.status !== OK_STATUS) return Effect.fail(toFailure(answer));
  return decodeBody(answer, read);
}

/** Decodes a body; fails as a lost answer if it can't be read. */
export function decodeBody<Value>(
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

/** The failure of a call with an answer other than 200. */
export function toFailure(answer: HttpResponse): StoreUnavailable {
  return new StoreUnavailable({
    message: `The store answered with status ${answer.status}; retry later`,
  });
}

/** The failure of a call without an answer. */
export function toReadFailure(failure: CallFailure): ReadFailure {
  const { message } = failure;
  return failure.reason === "answer-lost"
    ? new StoreAnswerLost({ message })
    : new StoreUnavailable({ message });
}
