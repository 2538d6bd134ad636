import { Deferred, Effect, type Scope } from "effect";
import { followLog } from "./follow_log.ts";
import type { LogEntry, LogPage, LogService } from "./log_service.ts";

/** A stream's folded state, kept current. */
export interface StreamView<State> {
  /** The state as of the last record read. */
  readonly current: () => State;
  /** Offset at which the next read continues. */
  readonly nextOffset: () => number;
  /** When the log service last answered; undefined before the first answer. */
  readonly readAtMs: () => number | undefined;
  /** Waits until the record at an offset is folded. */
  readonly waitForOffset: (offset: number) => Effect.Effect<void>;
}

/** Options of a view. */
export interface StreamViewOptions<State> {
  readonly log: LogService;
  readonly stream: string;
  readonly initial: State;
  readonly fold: (state: State, entry: LogEntry) => State;
  /** Learns of a page that changed the state. */
  readonly onChange?: (state: State, nowMs: number) => void;
}

interface OffsetWaiter {
  readonly offset: number;
  readonly reached: Deferred.Deferred<void>;
}

/** Folds a stream in the background until the scope closes. */
export function createStreamView<State>(
  options: StreamViewOptions<State>,
): Effect.Effect<StreamView<State>, never, Scope.Scope> {
  return Effect.gen(function* () {
    const fold = new ViewFold(options);
    const follow = followLog({
      log: options.log,
      stream: options.stream,
      onPage: (page, nowMs) => fold.apply(page, nowMs),
    });
    yield* Effect.forkScoped(follow);
    return {
      current: () => fold.state,
      nextOffset: () => fold.nextOffset,
      readAtMs: () => fold.readAtMs,
      waitForOffset: (offset) => fold.waitForOffset(offset),
    };
  });
}

class ViewFold<State> {
  state: State;
  nextOffset = 0;
  readAtMs: number | undefined;
  readonly #options: StreamViewOptions<State>;
  #waiters: OffsetWaiter[] = [];

  constructor(options: StreamViewOptions<State>) {
    this.#options = options;
    this.state = options.initial;
  }

  apply(page: LogPage, nowMs: number): void {
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
