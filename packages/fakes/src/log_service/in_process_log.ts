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

/** Connection of one process to the log. */
export interface InProcessLogOptions {
  readonly log: FakeLog;
  /** Offset of the log service's clock from the process's clock. */
  readonly clockErrorMs?: number;
  /** Returns the one-way network delay of the next message. */
  readonly nextDelayMs?: () => number;
  /** Whether the network between this process and the log loses all messages. */
  readonly isDisconnected?: () => boolean;
}

const READ_LIMIT = 1_000;
const LOST_ANSWER_TIMEOUT_MS = 500;

/** A fake log as a process's log client, without HTTP and on Effect's clock. */
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
        const lateAppend = Effect.sleep(lateAppendMs).pipe(
          Effect.andThen(Clock.currentTimeMillis),
          Effect.map((nowMs) =>
            log.append(stream, { records, nowMs: nowMs + clockErrorMs })
          ),
        );
        yield* Effect.forkDetach(lateAppend);
        return yield* this.#loseAnswer();
      }
      yield* this.#waitForDelivery();
      if (this.#isDisconnected()) return yield* this.#loseAnswer();
      const nowMs = yield* Clock.currentTimeMillis;
      const offset = log.append(stream, {
        records,
        nowMs: nowMs + clockErrorMs,
      });
      if (log.faults.losesAnswers === true) return yield* this.#loseAnswer();
      yield* this.#waitForDelivery();
      if (this.#isDisconnected()) return yield* this.#loseAnswer();
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
      yield* this.#waitForDelivery();
      if (waitMs > 0 && log.nextOffset(stream) <= fromOffset) {
        yield* this.#waitForAppend(waitMs);
      }
      if (log.faults.isOut === true || this.#isDisconnected()) {
        return yield* createUnavailable();
      }
      const page = log.read(stream, { fromOffset, limit });
      const firstOffset = log.firstOffset(stream);
      yield* this.#waitForDelivery();
      if (page === undefined) {
        return yield* new LogTruncated({
          message:
            "The log no longer keeps the offset that the read starts from",
          firstOffset,
        });
      }
      const entries = page.records as readonly LogEntry[];
      const nextOffset = (entries.at(-1)?.offset ?? fromOffset - 1) + 1;
      return { firstOffset, nextOffset, entries };
    });
  }

  #waitForAppend(waitMs: number): Effect.Effect<void> {
    const appended = Effect.callback<void>((resume) => {
      const unsubscribe = this.#options.log.onAppend(() => {
        unsubscribe();
        resume(Effect.void);
      });
      return Effect.sync(unsubscribe);
    });
    return Effect.timeoutOrElse(appended, {
      duration: waitMs,
      orElse: () => Effect.void,
    });
  }

  #waitForDelivery(): Effect.Effect<void> {
    const delayMs = this.#options.nextDelayMs?.() ?? 0;
    return delayMs > 0 ? Effect.sleep(delayMs) : Effect.void;
  }

  #isDisconnected(): boolean {
    return this.#options.isDisconnected?.() ?? false;
  }

  #loseAnswer(): Effect.Effect<never, LogAnswerLost> {
    return Effect.andThen(
      Effect.sleep(LOST_ANSWER_TIMEOUT_MS),
      Effect.fail(
        new LogAnswerLost({
          message:
            "The response to the append was lost; the append may have taken effect",
        }),
      ),
    );
  }
}

function createUnavailable(): LogUnavailable {
  return new LogUnavailable({ message: "The log service is unavailable" });
}
