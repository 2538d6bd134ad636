import type { ConfigSnapshotRecord } from "@celerytray/schema";
import { Clock, Deferred, Effect, type Scope } from "effect";
import {
  followLog,
  type LogPage,
  type LogService,
  type LogTruncated,
  type StreamView,
} from "../log/index.ts";
import {
  adoptConfigSnapshot,
  adoptConfigUpdate,
  type ConfigPosition,
  type ConfigUpdate,
} from "./config_update.ts";
import {
  type ConfigState,
  emptyConfigState,
  foldConfigRecord,
} from "./fold_config_record.ts";
import { CONFIG_STREAM, readLatestConfigSnapshot } from "./config_snapshots.ts";

/** The configuration in force on this entry instance, updated from the log. */
export interface ConfigStream
  extends Omit<StreamView<ConfigState>, "snapshotOffset" | "failedReason"> {
  readonly position: () => ConfigPosition;
  /** Why the configuration can't be used yet; undefined once it can be. */
  readonly startProblem: () => string | undefined;
  /** Records that most entry instances have no higher version. */
  readonly confirm: () => void;
  /** Adopts an update from another entry instance; true if it was newer. */
  readonly adopt: (update: ConfigUpdate) => Effect.Effect<boolean>;
  /** Waits until a version above the one given is in force. */
  readonly waitForVersionAbove: (version: number) => Effect.Effect<void>;
}

/** Options of the configuration stream. */
export interface ConfigStreamOptions {
  readonly log: LogService;
  /** Called for each version that comes into force. */
  readonly onChange?: (state: ConfigState, nowMs: number) => void;
  /** Called for each update that is refused as invalid or incomplete. */
  readonly onRefusal?: (reason: string, nowMs: number) => void;
}

const RETRY_DELAY_MS = 500;
const READ_TIMEOUT_MS = 1_000;

/**
 * Follows the stream `config` until the scope closes. If retention removed
 * records that were not read, continues from the latest snapshot on the log or
 * from another entry instance's update; never starts from an empty state again.
 */
export function createConfigStream(
  options: ConfigStreamOptions,
): Effect.Effect<ConfigStream, never, Scope.Scope> {
  return Effect.gen(function* () {
    const holder = new ConfigHolder(options);
    yield* Effect.forkScoped(
      Effect.forever(Effect.suspend(() => followOnce(options, holder))),
    );
    return {
      current: () => holder.position.state,
      position: () => holder.position,
      nextOffset: () => holder.position.nextOffset,
      readAtMs: () => holder.readAtMs,
      startProblem: () => holder.startProblem,
      confirm: () => holder.confirm(),
      waitForOffset: (offset) =>
        holder.waitUntil(({ nextOffset }) => nextOffset > offset),
      waitForVersionAbove: (version) =>
        holder.waitUntil(({ state }) => state.version > version),
      adopt: (update) =>
        Effect.map(
          Clock.currentTimeMillis,
          (nowMs) => holder.adopt(update, nowMs),
        ),
    };
  });
}

/** Follows the log until records are missing, then tries the latest snapshot. */
function followOnce(
  options: ConfigStreamOptions,
  holder: ConfigHolder,
): Effect.Effect<void> {
  const follow = followLog({
    log: options.log,
    stream: CONFIG_STREAM,
    fromOffset: holder.position.nextOffset,
    waitMs: READ_TIMEOUT_MS,
    onPage: (page, nowMs) => holder.applyPage(page, nowMs),
  });
  return Effect.catchTag(
    follow,
    "LogTruncated",
    (truncated) => recoverTruncated(options, { holder, truncated }),
  );
}

interface TruncatedRead {
  readonly holder: ConfigHolder;
  readonly truncated: LogTruncated;
}

function recoverTruncated(
  options: ConfigStreamOptions,
  { holder, truncated }: TruncatedRead,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    if (holder.position.nextOffset >= truncated.firstOffset) return;
    const snapshot = yield* readLatestConfigSnapshot(options.log).pipe(
      Effect.catch(() => Effect.succeed(undefined)),
    );
    const nowMs = yield* Clock.currentTimeMillis;
    const isUsable = snapshot !== undefined &&
      snapshot.nextOffset >= truncated.firstOffset;
    if (isUsable && holder.adoptSnapshot(snapshot, nowMs)) return;
    holder.reportGap(truncated.firstOffset);
    yield* Effect.sleep(RETRY_DELAY_MS);
  });
}

interface Waiter {
  readonly isReached: (position: ConfigPosition) => boolean;
  readonly reached: Deferred.Deferred<void>;
}

/** Holds the position, which never moves back, and the effects that wait on it. */
class ConfigHolder {
  position: ConfigPosition = { state: emptyConfigState(), nextOffset: 0 };
  readAtMs: number | undefined;
  startProblem: string | undefined =
    "it has not read the configuration to its end yet";
  readonly #options: ConfigStreamOptions;
  #waiters: Waiter[] = [];

  constructor(options: ConfigStreamOptions) {
    this.#options = options;
  }

  applyPage(page: LogPage, nowMs: number): void {
    this.readAtMs = nowMs;
    const state = page.entries.reduce(foldConfigRecord, this.position.state);
    const nextOffset = Math.max(this.position.nextOffset, page.nextOffset);
    const isAtEnd = page.endOffset === undefined
      ? page.entries.length === 0
      : page.nextOffset >= page.endOffset;
    if (isAtEnd) this.startProblem = undefined;
    this.#moveTo({ state, nextOffset }, nowMs);
  }

  adopt(update: ConfigUpdate, nowMs: number): boolean {
    return this.#applyResult(adoptConfigUpdate(this.position, update), nowMs);
  }

  adoptSnapshot(snapshot: ConfigSnapshotRecord, nowMs: number): boolean {
    return this.#applyResult(
      adoptConfigSnapshot(this.position, snapshot),
      nowMs,
    );
  }

  confirm(): void {
    if (this.position.state.version > 0) this.startProblem = undefined;
  }

  reportGap(firstOffset: number): void {
    this.startProblem =
      `the log keeps the configuration from offset ${firstOffset} on only, without a snapshot; it waits for another entry instance`;
  }

  waitUntil(
    isReached: (position: ConfigPosition) => boolean,
  ): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (isReached(this.position)) return Effect.void;
      const reached = Deferred.makeUnsafe<void>();
      const waiter = { isReached, reached };
      this.#waiters.push(waiter);
      return Deferred.await(reached).pipe(
        Effect.ensuring(Effect.sync(() => this.#forget(waiter))),
      );
    });
  }

  #applyResult(
    adopted: ReturnType<typeof adoptConfigUpdate>,
    nowMs: number,
  ): boolean {
    return adopted.caseOf({
      Left: (reason) => {
        if (reason !== "not-newer") this.#options.onRefusal?.(reason, nowMs);
        return false;
      },
      Right: (position) => {
        this.#moveTo(position, nowMs);
        return true;
      },
    });
  }

  #moveTo(position: ConfigPosition, nowMs: number): void {
    const isChanged = position.state !== this.position.state;
    this.position = position;
    if (isChanged) this.#options.onChange?.(position.state, nowMs);
    for (const waiter of this.#waiters) {
      if (!waiter.isReached(position)) continue;
      Deferred.doneUnsafe(waiter.reached, Effect.void);
    }
  }

  #forget(waiter: Waiter): void {
    this.#waiters = this.#waiters.filter((other) => other !== waiter);
  }
}
