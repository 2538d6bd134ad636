import {
  type LogAppendAnswer,
  type LogReadAnswer,
  type LogRecord,
  type StoredRecord,
  validateLogAppendAnswer,
  validateLogReadAnswer,
  validateLogRecord,
} from "@celerytray/schema";
import { Effect } from "effect";
import { Agent } from "node:http";
import { type HttpFailure, requestJson } from "../http/index.ts";
import {
  LogAnswerLost,
  type LogEntry,
  type LogPage,
  type LogReadOptions,
  type LogService,
  LogTruncated,
  LogUnavailable,
} from "./log_service.ts";

/** Address and timeout of the log service. */
export interface HttpLogServiceOptions {
  /** Base URL, without a trailing slash. */
  readonly url: string;
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 2_000;
const DEFAULT_READ_LIMIT = 1_000;
const GONE_STATUS = 410;
/** The only 5xx status after which an append certainly had no effect. */
const UNAVAILABLE_STATUS = 503;

/** Client of the log service's HTTP/JSON protocol. */
export class HttpLogService implements LogService {
  readonly #url: string;
  readonly #timeoutMs: number;
  readonly #agent = new Agent({ keepAlive: true });

  constructor(options: HttpLogServiceOptions) {
    this.#url = options.url;
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  append(
    stream: string,
    records: readonly LogRecord[],
  ): Effect.Effect<number, LogUnavailable | LogAnswerLost> {
    const answer = requestJson({
      url: this.#streamUrl(stream),
      body: { records },
      timeoutMs: this.#timeoutMs,
      agent: this.#agent,
    });
    return answer.pipe(
      Effect.mapError(toAppendError),
      Effect.flatMap(readAppendAnswer),
    );
  }

  read(
    stream: string,
    options: LogReadOptions,
  ): Effect.Effect<LogPage, LogUnavailable | LogTruncated> {
    const waitMs = options.waitMs ?? 0;
    const query = new URLSearchParams({
      from: String(options.fromOffset),
      limit: String(options.limit ?? DEFAULT_READ_LIMIT),
      waitMs: String(waitMs),
    });
    const answer = requestJson({
      url: `${this.#streamUrl(stream)}?${query}`,
      timeoutMs: this.#timeoutMs + waitMs,
      agent: this.#agent,
    });
    return answer.pipe(
      Effect.mapError(toReadError),
      Effect.flatMap((body) => readPage(body, options.fromOffset)),
    );
  }

  #streamUrl(stream: string): string {
    return `${this.#url}/streams/${encodeURIComponent(stream)}/records`;
  }
}

function toAppendError(failure: HttpFailure): LogUnavailable | LogAnswerLost {
  const message = failure.message;
  const isDefinite = failure.status === undefined ||
    failure.status < 500 || failure.status === UNAVAILABLE_STATUS;
  return failure.reason === "answer-lost" || !isDefinite
    ? new LogAnswerLost({ message })
    : new LogUnavailable({ message });
}

function toReadError(failure: HttpFailure): LogUnavailable | LogTruncated {
  if (failure.status === GONE_STATUS) {
    const body = failure.body as { readonly firstOffset?: number };
    return new LogTruncated({
      message: "The requested records are no longer retained; read a snapshot",
      firstOffset: body?.firstOffset ?? 0,
    });
  }
  return new LogUnavailable({ message: failure.message });
}

function readAppendAnswer(
  body: unknown,
): Effect.Effect<number, LogAnswerLost> {
  if (validateLogAppendAnswer(body)) {
    return Effect.succeed((body as LogAppendAnswer).firstOffset);
  }
  return Effect.fail(
    new LogAnswerLost({
      message:
        "The answer to an append has no valid firstOffset; check the log service",
    }),
  );
}

function readPage(
  body: unknown,
  fromOffset: number,
): Effect.Effect<LogPage, LogUnavailable> {
  if (!validateLogReadAnswer(body)) {
    return Effect.fail(
      new LogUnavailable({
        message: "The answer to a read is malformed; check the log service",
      }),
    );
  }
  const answer = body as LogReadAnswer;
  const last = answer.records.at(-1);
  return Effect.succeed({
    firstOffset: answer.firstOffset,
    nextOffset: last === undefined ? fromOffset : last.offset + 1,
    endOffset: answer.nextOffset,
    entries: answer.records.filter(isLogEntry),
  });
}

function isLogEntry(stored: StoredRecord): stored is LogEntry & StoredRecord {
  return validateLogRecord(stored.record);
}
