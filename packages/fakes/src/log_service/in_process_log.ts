import type { LogRecord } from "@celerytray/schema";
import {
  LogAnswerLost,
  type LogEntry,
  type LogPage,
  type LogReadOptions,
  type LogService,
  LogTruncated,
  LogUnavailable,
} from "celerytray";
import { Clock, Effect } from "effect";
import type { FakeLog } from "./fake_log.ts";

/** How one process meets the log. */
export interface InProcessLogOptions {
  readonly log: FakeLog;
  /** Log service's clock less the process's. */
  readonly clockErrorMs?: number;
  /** Time of one way, drawn anew for each message. */
  readonly nextDelayMs?: () => number;
  /** Whether messages between this process and the log are lost. */
  readonly isDisconnected?: () => boolean;
}

const READ_LIMIT = 1_000;
const LOST_AFTER_MS = 500;

/** A stand-in's log without HTTP, on effect's clock, for tests. */
export class InProcessLog implements LogService {
  readonly #options: InProcessLogOptions;

  constructor(options: InProcessLogOptions) {
    this.#options = options;
  }

  append(
    stream: string,
    records: readonly LogRecord[],
  ): Effect.Effect<number, LogUnavailable | LogAnswerLost> {
    const { log, clockErrorMs = 0 } = this.#options;
    return Effect.gen({ self: this }, function* () {
      if (log.faults.isOut === true) return yield* createUnavailable();
      const { lateAppendMs } = log.faults;
      if (lateAppendMs !== undefined) {
        const late = Effect.sleep(lateAppendMs).pipe(
          Effect.andThen(Clock.currentTimeMillis),
          Effect.map((nowMs) =>
            log.append(stream, { records, nowMs: nowMs + clockErrorMs })
          ),
        );
        yield* Effect.forkDetach(late);
        return yield* this.#loseAnswer();
      }
      yield* this.#travel();
      if (this.#isCut()) return yield* this.#loseAnswer();
      const nowMs = yield* Clock.currentTimeMillis;
      const offset = log.append(stream, {
        records,
        nowMs: nowMs + clockErrorMs,
      });
      if (log.faults.losesAnswers === true) return yield* this.#loseAnswer();
      yield* this.#travel();
      if (this.#isCut()) return yield* this.#loseAnswer();
      return offset;
    });
  }

  read(
    stream: string,
    options: LogReadOptions,
  ): Effect.Effect<LogPage, LogUnavailable | LogTruncated> {
    const { log } = this.#options;
    const { fromOffset, limit = READ_LIMIT, waitMs = 0 } = options;
    return Effect.gen({ self: this }, function* () {
      yield* this.#travel();
      if (waitMs > 0 && log.nextOffset(stream) <= fromOffset) {
        yield* this.#waitForAppend(waitMs);
      }
      if (log.faults.isOut === true || this.#isCut()) {
        return yield* createUnavailable();
      }
      const page = log.read(stream, { fromOffset, limit });
      const firstOffset = log.firstOffset(stream);
      yield* this.#travel();
      if (page === undefined) {
        return yield* new LogTruncated({ message: "Truncated", firstOffset });
      }
      const entries = page.records as readonly LogEntry[];
      const nextOffset = (entries.at(-1)?.offset ?? fromOffset - 1) + 1;
      return { firstOffset, nextOffset, entries };
    });
  }

  #waitForAppend(waitMs: number): Effect.Effect<void> {
    const appended = Effect.callback<void>((resume) => {
      const stop = this.#options.log.onAppend(() => {
        stop();
        resume(Effect.void);
      });
      return Effect.sync(stop);
    });
    return Effect.timeoutOrElse(appended, {
      duration: waitMs,
      orElse: () => Effect.void,
    });
  }

  #travel(): Effect.Effect<void> {
    const delayMs = this.#options.nextDelayMs?.() ?? 0;
    return delayMs > 0 ? Effect.sleep(delayMs) : Effect.void;
  }

  #isCut(): boolean {
    return this.#options.isDisconnected?.() ?? false;
  }

  #loseAnswer(): Effect.Effect<never, LogAnswerLost> {
    return Effect.andThen(
      Effect.sleep(LOST_AFTER_MS),
      Effect.fail(new LogAnswerLost({ message: "The answer was lost" })),
    );
  }
}

function createUnavailable(): LogUnavailable {
  return new LogUnavailable({ message: "The log service is out" });
}
