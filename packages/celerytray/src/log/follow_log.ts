import { Clock, Effect } from "effect";
import type { LogPage, LogService, LogTruncated } from "./log_service.ts";

/** What to follow, and what to do with it. */
export interface FollowLogOptions {
  readonly log: LogService;
  readonly stream: string;
  readonly fromOffset?: number;
  /** Longest wait of one read for a new record. */
  readonly waitMs?: number;
  /** Pause after each page, in which further records gather for the next. */
  readonly pauseMs?: number;
  /** Applies a page and its time; pages arrive in offset order, without gaps. */
  readonly onPage: (page: LogPage, nowMs: number) => void;
  /** Learns of each failed read. */
  readonly onFailure?: (message: string, nowMs: number) => void;
}

const DEFAULT_WAIT_MS = 1_000;
const RETRY_DELAY_MS = 200;

/**
 * Reads a stream for ever, retrying while the log service is out. Fails only
 * when retention removed records that were not yet read.
 */
export function followLog(
  options: FollowLogOptions,
): Effect.Effect<never, LogTruncated> {
  return Effect.gen(function* () {
    let nextOffset = options.fromOffset ?? 0;
    while (true) {
      const page = yield* readNext(options, nextOffset);
      if (page === undefined) {
        yield* Effect.sleep(RETRY_DELAY_MS);
        continue;
      }
      nextOffset = page.nextOffset;
      options.onPage(page, yield* Clock.currentTimeMillis);
      if (options.pauseMs !== undefined) yield* Effect.sleep(options.pauseMs);
    }
  });
}

function readNext(
  options: FollowLogOptions,
  fromOffset: number,
): Effect.Effect<LogPage | undefined, LogTruncated> {
  const read = options.log.read(options.stream, {
    fromOffset,
    waitMs: options.waitMs ?? DEFAULT_WAIT_MS,
  });
  return read.pipe(
    Effect.catchTag("LogUnavailable", (error) =>
      Effect.gen(function* () {
        const nowMs = yield* Clock.currentTimeMillis;
        options.onFailure?.(error.message, nowMs);
        return undefined;
      })),
  );
}
