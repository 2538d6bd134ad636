import type { LogRecord } from "@celerytray/schema";
import { FakeLog } from "@celerytray/fakes";
import {
  LogAnswerLost,
  type LogPage,
  type LogReadOptions,
  type LogService,
  LogTruncated,
  LogUnavailable,
} from "celerytray";
import { Clock, Effect } from "effect";

/** Faults of the connection between one process and the log. */
export interface VirtualLogFaults {
  isOut?: boolean;
  losesAnswers?: boolean;
  /** The next append takes effect, but its response is lost and the outage starts. */
  isOutAfterAppend?: boolean;
}

const POLL_MS = 20;
const READ_LIMIT = 1_000;
const OUTAGE_ERROR = new LogUnavailable({
  message: "The log is unavailable; retry later",
});

/** Access of one process to an in-memory log, in virtual time. */
export class VirtualLog implements LogService {
  readonly #log: FakeLog;
  readonly #faults: VirtualLogFaults;

  constructor(log: FakeLog, faults: VirtualLogFaults = {}) {
    this.#log = log;
    this.#faults = faults;
  }

  append(
    stream: string,
    records: readonly LogRecord[],
  ): Effect.Effect<number, LogUnavailable | LogAnswerLost> {
    return Effect.gen({ self: this }, function* () {
      if (this.#faults.isOut === true) return yield* OUTAGE_ERROR;
      const nowMs = yield* Clock.currentTimeMillis;
      const storedRecords = JSON.parse(JSON.stringify(records)) as LogRecord[];
      const offset = this.#log.append(stream, {
        records: storedRecords,
        nowMs,
      });
      if (this.#faults.isOutAfterAppend === true) this.#faults.isOut = true;
      const { losesAnswers, isOutAfterAppend } = this.#faults;
      if (losesAnswers === true || isOutAfterAppend === true) {
        return yield* new LogAnswerLost({
          message: "The response to the append was lost",
        });
      }
      return offset;
    });
  }

  read(
    stream: string,
    options: LogReadOptions,
  ): Effect.Effect<LogPage, LogUnavailable | LogTruncated> {
    return Effect.gen({ self: this }, function* () {
      const endMs = (yield* Clock.currentTimeMillis) + (options.waitMs ?? 0);
      while (true) {
        if (this.#faults.isOut === true) return yield* OUTAGE_ERROR;
        const page = yield* this.#readNow(stream, options);
        const nowMs = yield* Clock.currentTimeMillis;
        if (page.nextOffset > options.fromOffset || nowMs >= endMs) return page;
        yield* Effect.sleep(POLL_MS);
      }
    });
  }

  #readNow(
    stream: string,
    { fromOffset, limit = READ_LIMIT }: LogReadOptions,
  ): Effect.Effect<LogPage, LogTruncated> {
    const page = this.#log.read(stream, { fromOffset, limit });
    if (page === undefined) {
      return Effect.fail(
        new LogTruncated({
          message: "The records are no longer kept; read a snapshot",
          firstOffset: this.#log.firstOffset(stream),
        }),
      );
    }
    const entries = page.records as LogPage["entries"];
    const nextOffset = (entries.at(-1)?.offset ?? fromOffset - 1) + 1;
    const { firstOffset, nextOffset: endOffset } = page;
    return Effect.succeed({ firstOffset, nextOffset, endOffset, entries });
  }
}
