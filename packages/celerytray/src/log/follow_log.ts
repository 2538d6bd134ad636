import { Clock, Effect } from "effect";
import type { LogPage, LogService, LogTruncated } from "./log_service.ts";

/** Options of following a stream. */
export interface FollowLogOptions {
  readonly log: LogService;
  readonly stream: string;
  readonly fromOffset?: number;
  /** Maximum wait of one read for a new record. */
  readonly waitMs?: number;
  /** Pause after each page, so that the next one contains more records. */
  readonly pauseMs?: number;
  /** Called for each page, in offset order and without gaps. */
  readonly onPage: (page: LogPage, nowMs: number) => void;
  /** Called for each failed read. */
  readonly onFailure?: (message: string, nowMs: number) => void;
}

const DEFAULT_WAIT_MS = 1_000;
const RETRY_DELAY_MS = 200;

/**
 * Reads a stream until interrupted, retrying while the log service is
 * unavailable. Fails only if retention removed records that were not yet read.
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
