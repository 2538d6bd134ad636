import createDebug from "debug";
import { Deferred, Effect, Schedule, type Scope } from "effect";
import { followLog } from "./follow_log.ts";
import type {
  LogEntry,
  LogPage,
  LogService,
  LogTruncated,
} from "./log_service.ts";
import {
  readLatestSnapshot,
  type SnapshotCodec,
  type StreamSnapshot,
} from "./snapshots.ts";
import type { StreamView } from "./stream_view_types.ts";

const log = createDebug("celerytray:log");
const RETRY_DELAY_MS = 500;

/** Options of a stream view. */
export interface StreamViewOptions<State> {
  readonly log: LogService;
  readonly stream: string;
  readonly initial: State;
  readonly fold: (state: State, entry: LogEntry) => State;
  /** If given, the view starts from the stream's latest snapshot. */
  readonly snapshot?: SnapshotCodec<State>;
  /** Called after each page that changed the state. */
  readonly onChange?: (state: State, nowMs: number) => void;
}

interface OffsetWaiter {
  readonly offset: number;
  readonly reached: Deferred.Deferred<void>;
}

/** Follows a stream in the background until the scope closes. */
export function createStreamView<State>(
  options: StreamViewOptions<State>,
): Effect.Effect<StreamView<State>, never, Scope.Scope> {
  return Effect.gen(function* () {
    const view = new ViewState(options);
    yield* Effect.forkScoped(Effect.forever(followOnce(options, view)));
    return {
      current: () => view.state,
      nextOffset: () => view.nextOffset,
      readAtMs: () => view.readAtMs,
      snapshotOffset: () => view.snapshotOffset,
      failedReason: () => view.failedReason,
      waitForOffset: (offset) => view.waitForOffset(offset),
    };
  });
}

/** Restores the latest snapshot and follows until records are missing. */
function followOnce<State>(
  options: StreamViewOptions<State>,
  view: ViewState<State>,
): Effect.Effect<void> {
  const { stream, snapshot: codec } = options;
  const restore = codec === undefined
    ? Effect.void
    : readLatestSnapshot({ log: options.log, stream, codec }).pipe(
      Effect.retry(Schedule.spaced(RETRY_DELAY_MS)),
      Effect.orDie,
      Effect.map((found) => view.restore(found)),
    );
  const follow = Effect.suspend(() =>
    followLog({
      log: options.log,
      stream,
      fromOffset: view.nextOffset,
      onPage: (page, nowMs) => view.apply(page, nowMs),
    })
  );
  return restore.pipe(
    Effect.andThen(follow),
    Effect.catchTag(
      "LogTruncated",
      (truncated) =>
        Effect.sync(() => view.fail(truncated)).pipe(
          Effect.andThen(Effect.sleep(RETRY_DELAY_MS)),
        ),
    ),
  );
}

class ViewState<State> {
  state: State;
  snapshotOffset = 0;
  failedReason: string | undefined;
  nextOffset = 0;
  readAtMs: number | undefined;
  readonly #options: StreamViewOptions<State>;
  #waiters: OffsetWaiter[] = [];

  constructor(options: StreamViewOptions<State>) {
    this.#options = options;
    this.state = options.initial;
  }

  /** Restores a snapshot unless the state already covers it. */
  restore(snapshot: StreamSnapshot<State> | undefined): void {
    if (snapshot === undefined || snapshot.nextOffset <= this.nextOffset) {
      return;
    }
    this.state = snapshot.state;
    this.nextOffset = snapshot.nextOffset;
    this.snapshotOffset = snapshot.nextOffset;
  }

  fail({ firstOffset }: LogTruncated): void {
    const { stream } = this.#options;
    const reason = `Stream ${stream} is kept from offset ${firstOffset} on, ` +
      `but its records from ${this.nextOffset} on are needed and no snapshot ` +
      "covers them; restore the log's records or publish a snapshot";
    if (this.failedReason !== reason) log(reason);
    this.failedReason = reason;
  }

  apply(page: LogPage, nowMs: number): void {
    this.failedReason = undefined;
    const before = this.state;
    for (const entry of page.entries) {
      this.state = this.#options.fold(this.state, entry);
    }
    this.nextOffset = page.nextOffset;
    this.readAtMs = nowMs;
    if (this.state !== before) this.#options.onChange?.(this.state, nowMs);
    this.#releaseWaiters();
  }

  waitForOffset(offset: number): Effect.Effect<void> {
    if (this.nextOffset > offset) return Effect.void;
    const reached = Deferred.makeUnsafe<void>();
    this.#waiters.push({ offset, reached });
    return Deferred.await(reached);
  }

  #releaseWaiters(): void {
    const [released, waiting] = partitionWaiters(
      this.#waiters,
      this.nextOffset,
    );
    this.#waiters = waiting;
    for (const waiter of released) {
      Deferred.doneUnsafe(waiter.reached, Effect.void);
    }
  }
}

function partitionWaiters(
  waiters: readonly OffsetWaiter[],
  nextOffset: number,
): [OffsetWaiter[], OffsetWaiter[]] {
  const released = waiters.filter((waiter) => waiter.offset < nextOffset);
  const waiting = waiters.filter((waiter) => waiter.offset >= nextOffset);
  return [released, waiting];
}
