import { Effect, type Result } from "effect";
import { steadyMs } from "../clock/index.ts";
import type { EraStart } from "./era_start.ts";
import type {
  HistoryDropped,
  KeyedLog,
  KeyedPage,
  KeyedRecord,
  KeyedTopic,
  ReadFailure,
} from "./keyed_log.ts";
import type { LogPosition } from "./position.ts";

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
  /**
   * Longest wait for the relay before the topic is read anew, where records are
   * gone.
   */
  readonly rereadDelayMs?: () => number;
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
  return Effect.suspend(() => new TopicFollower(options).run());
}

/** Reads one topic on, and all of it anew where records are gone. */
class TopicFollower {
  readonly #options: FollowTopicOptions;
  /** Position up to which the topic is known; undefined before the first read. */
  #nextOffset: LogPosition | undefined;
  /** Position from which on records are gone that this process lacks. */
  #droppedFrom: LogPosition | undefined;
  #wasFullRead = false;

  constructor(options: FollowTopicOptions) {
    this.#options = options;
  }

  run(): Effect.Effect<never> {
    const turn = Effect.gen({ self: this }, function* () {
      const hasRelayed = yield* this.#awaitRelayFallingBehind();
      // Once the relay falls behind, the next read returns at once.
      yield* this.#readOnce(hasRelayed ? 0 : this.#options.waitMs());
    });
    return Effect.forever(turn);
  }

  /** Whether the relay has delivered all from the dropped records on. */
  get #hasRelayPassedDrop(): boolean {
    const { relay } = this.#options;
    return this.#droppedFrom === undefined ||
      (relay !== undefined && relay.nextOffset() > this.#droppedFrom);
  }

  /** Waits while no read is needed; whether it had to. */
  #awaitRelayFallingBehind(): Effect.Effect<boolean> {
    const { relay } = this.#options;
    return Effect.gen({ self: this }, function* () {
      if (this.#nextOffset === undefined || relay === undefined) return false;
      let hasWaited = false;
      while (relay.isRecent() && this.#hasRelayPassedDrop) {
        hasWaited = true;
        yield* Effect.sleep(RELAY_CHECK_MS);
      }
      if (this.#hasRelayPassedDrop) this.#droppedFrom = undefined;
      this.#nextOffset = Math.max(this.#nextOffset, relay.nextOffset());
      return hasWaited;
    });
  }

  #readOnce(waitMs: number): Effect.Effect<void> {
    const { log, topic } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const sentAtMs = yield* steadyMs;
      const fromOffset = this.#droppedFrom === undefined
        ? this.#nextOffset
        : undefined;
      const isFullRead = fromOffset === undefined;
      const page: Result.Result<KeyedPage, ReadFailure | HistoryDropped> =
        yield* (isFullRead
          ? log.readNewest(topic)
          : log.read(topic, { fromOffset, waitMs })).pipe(Effect.result);
      if (page._tag === "Failure") {
        yield* this.#recover(page.failure);
      } else if (page.success.nextOffset < (this.#nextOffset ?? 0)) {
        yield* this.#awaitStore(page.success.nextOffset);
      } else {
        const hasWaitedFully = !isFullRead &&
          page.success.records.length === 0 &&
          (yield* steadyMs) - sentAtMs >= waitMs;
        // A read that waited its full time shows that no record came meanwhile.
        const freshAtMs = hasWaitedFully ? sentAtMs + waitMs : sentAtMs;
        yield* this.#deliver({ ...page.success, isFullRead, freshAtMs });
      }
    });
  }

  #deliver(change: KeyedChange): Effect.Effect<void> {
    const { onChange, pauseMs } = this.#options;
    return Effect.suspend(() => {
      this.#wasFullRead = change.isFullRead;
      this.#droppedFrom = undefined;
      this.#nextOffset = change.nextOffset;
      onChange(change);
      return change.records.length > 0 ? Effect.sleep(pauseMs()) : Effect.void;
    });
  }

  #recover(failure: ReadFailure | HistoryDropped): Effect.Effect<void> {
    const { onFailure, onHistoryDropped, retryMs } = this.#options;
    return Effect.suspend(() => {
      const wasFullRead = this.#wasFullRead;
      this.#wasFullRead = false;
      onFailure(failure.message);
      if (failure._tag !== "HistoryDropped") return Effect.sleep(retryMs());
      this.#droppedFrom = this.#nextOffset;
      onHistoryDropped?.(failure.message);
      // Records that are gone right after a full read may be so for long.
      return wasFullRead ? Effect.sleep(retryMs()) : this.#awaitRelay();
    });
  }

  /** Waits for the relay to pass dropped records, as long as allowed. */
  #awaitRelay(): Effect.Effect<void> {
    const { rereadDelayMs } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const untilMs = (yield* steadyMs) + (rereadDelayMs?.() ?? 0);
      while (!this.#hasRelayPassedDrop) {
        const leftMs = untilMs - (yield* steadyMs);
        if (leftMs <= 0) return;
        yield* Effect.sleep(Math.min(RELAY_CHECK_MS, leftMs));
      }
    });
  }

  #awaitStore(endOffset: LogPosition): Effect.Effect<void> {
    const { topic, onFailure, retryMs } = this.#options;
    return Effect.suspend(() => {
      onFailure(
        `The store's answer for ${topic} ends at offset ${endOffset}, before the known offset ${this.#nextOffset}; the store is behind`,
      );
      return Effect.sleep(retryMs());
    });
  }
}
