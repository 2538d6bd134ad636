import { Effect } from "effect";
import { steadyMs } from "../clock/index.ts";
import type { EraStart } from "./era_start.ts";
import type { KeyedLog, KeyedRecord, KeyedTopic } from "./keyed_log.ts";

/** A change of a topic, or its complete content. */
export interface KeyedChange {
  /** Whether `records` covers every key, so that all other keys are deleted. */
  readonly isFullRead: boolean;
  readonly records: readonly KeyedRecord[];
  readonly nextOffset: number;
  /** Time up to which the records are known to be the newest. */
  readonly freshAtMs: number;
  /** Start of the era of these records, if it is known. */
  readonly eraStart?: EraStart;
}

/** Options of following a topic. */
export interface FollowTopicOptions {
  readonly log: KeyedLog;
  readonly topic: KeyedTopic;
  /** Maximum wait of one read for a first record. */
  readonly waitMs: () => number;
  /** Pause after a read with records, so that the next read returns several. */
  readonly pauseMs: () => number;
  readonly onChange: (change: KeyedChange) => void;
  readonly onFailure: (message: string) => void;
  /** Called when the records from the known position on are gone. */
  readonly onHistoryDropped?: (message: string) => void;
  /** Pause after a failed read. */
  readonly retryMs: () => number;
  /** Relay of the topic by another process; without it, every read is made here. */
  readonly relay?: {
    /** Whether relayed changes are recent enough that no read is needed. */
    readonly isRecent: () => boolean;
    /** Offset up to which the relay has delivered records. */
    readonly nextOffset: () => number;
  };
}

const RELAY_CHECK_MS = 100;

/** Follows a topic until interrupted; never delivers older records again. */
export function followTopic(
  options: FollowTopicOptions,
): Effect.Effect<never> {
  const { log, topic } = options;
  return Effect.gen(function* () {
    let nextOffset: number | undefined;
    let needsFullRead = true;
    while (true) {
      let waitMs = options.waitMs();
      if (nextOffset !== undefined && options.relay !== undefined) {
        while (options.relay.isRecent()) {
          // Once the relay falls behind, the next read returns at once.
          waitMs = 0;
          yield* Effect.sleep(RELAY_CHECK_MS);
        }
        nextOffset = Math.max(nextOffset, options.relay.nextOffset());
      }
      const sentAtMs = yield* steadyMs;
      const isFullRead: boolean = needsFullRead;
      const page =
        yield* (isFullRead ? log.readNewest(topic) : log.read(topic, {
          fromOffset: nextOffset!,
          waitMs,
        })).pipe(Effect.result);
      if (page._tag === "Failure") {
        const { _tag: kind, message } = page.failure;
        if (kind === "HistoryDropped") {
          needsFullRead = true;
          options.onHistoryDropped?.(message);
        }
        options.onFailure(message);
        yield* Effect.sleep(options.retryMs());
        continue;
      }
      if (nextOffset !== undefined && page.success.nextOffset < nextOffset) {
        options.onFailure(
          `The store's answer for ${topic} ends at offset ${page.success.nextOffset}, before the known offset ${nextOffset}; the store is behind`,
        );
        yield* Effect.sleep(options.retryMs());
        continue;
      }
      needsFullRead = false;
      nextOffset = page.success.nextOffset;
      const answeredAtMs = yield* steadyMs;
      // A read that waited its full time shows that no record came meanwhile.
      const hasWaitedFully = !isFullRead && page.success.records.length === 0 &&
        answeredAtMs - sentAtMs >= waitMs;
      const freshAtMs = hasWaitedFully ? sentAtMs + waitMs : sentAtMs;
      options.onChange({ ...page.success, isFullRead, freshAtMs });
      if (page.success.records.length > 0) {
        yield* Effect.sleep(options.pauseMs());
      }
    }
  });
}
