import { Effect } from "effect";
import { steadyMs } from "../clock/index.ts";
import type { KeyedLog, KeyedRecord, KeyedTopic } from "./keyed_log.ts";

/** What changed in a topic. */
export interface KeyedChange {
  /** Whether the records are all keys, so that others are gone. */
  readonly isFullRead: boolean;
  readonly records: readonly KeyedRecord[];
  readonly nextOffset: number;
  /** Time before which the records were the newest. */
  readonly freshAtMs: number;
}

/** What to follow, and what to do with it. */
export interface FollowTopicOptions {
  readonly log: KeyedLog;
  readonly topic: KeyedTopic;
  /** Longest wait of one read for a first record. */
  readonly waitMs: () => number;
  /** Pause after records, in which further ones gather for the next read. */
  readonly pauseMs: () => number;
  readonly onChange: (change: KeyedChange) => void;
  readonly onFailure: (message: string) => void;
  /** Pause after a read that failed. */
  readonly retryMs: () => number;
  /** What another process tells of the topic; without it all is read here. */
  readonly relay?: {
    /** Whether that is enough for now. */
    readonly isRecent: () => boolean;
    /** Offset up to which records are known. */
    readonly nextOffset: () => number;
  };
}

const RELAY_CHECK_MS = 100;

/** Follows a topic for ever; never goes back to older records. */
export function followTopic(
  options: FollowTopicOptions,
): Effect.Effect<never> {
  const { log, topic } = options;
  return Effect.gen(function* () {
    let nextOffset: number | undefined;
    let needsWhole = true;
    while (true) {
      let waitMs = options.waitMs();
      if (nextOffset !== undefined && options.relay !== undefined) {
        while (options.relay.isRecent()) {
          // What the relay can't tell any more is asked for at once.
          waitMs = 0;
          yield* Effect.sleep(RELAY_CHECK_MS);
        }
        nextOffset = Math.max(nextOffset, options.relay.nextOffset());
      }
      const sentAtMs = yield* steadyMs;
      const isWhole: boolean = needsWhole;
      const page = yield* (isWhole ? log.readNewest(topic) : log.read(topic, {
        fromOffset: nextOffset!,
        waitMs,
      })).pipe(Effect.result);
      if (page._tag === "Failure") {
        if (page.failure._tag === "HistoryDropped") needsWhole = true;
        options.onFailure(page.failure.message);
        yield* Effect.sleep(options.retryMs());
        continue;
      }
      if (nextOffset !== undefined && page.success.nextOffset < nextOffset) {
        options.onFailure(
          `The store answered for ${topic} as of offset ${page.success.nextOffset}, before ${nextOffset}; it is behind`,
        );
        yield* Effect.sleep(options.retryMs());
        continue;
      }
      needsWhole = false;
      nextOffset = page.success.nextOffset;
      const answeredAtMs = yield* steadyMs;
      // A read that waited to its end without a record tells of its end.
      const hasWaited = !isWhole && page.success.records.length === 0 &&
        answeredAtMs - sentAtMs >= waitMs;
      const freshAtMs = hasWaited ? sentAtMs + waitMs : sentAtMs;
      options.onChange({ ...page.success, isFullRead: isWhole, freshAtMs });
      if (page.success.records.length > 0) {
        yield* Effect.sleep(options.pauseMs());
      }
    }
  });
}
