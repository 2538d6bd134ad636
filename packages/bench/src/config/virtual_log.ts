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

/** Faults between one process and the log. */
export interface VirtualLogFaults {
  isOut?: boolean;
  losesAnswers?: boolean;
  /** The next append takes effect, and the log goes out with its answer. */
  goesOutAtAppend?: boolean;
}

const POLL_MS = 20;
const READ_LIMIT = 1_000;
const OUT = new LogUnavailable({ message: "The log is out; retry later" });

/** One process's way to a log in memory, on the runtime's clock. */
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
      if (this.#faults.isOut === true) return yield* OUT;
      const nowMs = yield* Clock.currentTimeMillis;
      const kept = JSON.parse(JSON.stringify(records)) as LogRecord[];
      const offset = this.#log.append(stream, { records: kept, nowMs });
      if (this.#faults.goesOutAtAppend === true) this.#faults.isOut = true;
      const { losesAnswers, goesOutAtAppend } = this.#faults;
      if (losesAnswers === true || goesOutAtAppend === true) {
        return yield* new LogAnswerLost({ message: "The answer was lost" });
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
        if (this.#faults.isOut === true) return yield* OUT;
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
