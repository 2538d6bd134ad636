import { Deferred, Effect, type Scope } from "effect";
import { followLog, type LogPage, type LogService } from "../log/index.ts";
import {
  type Claim,
  ClaimTable,
  type ClaimTablePolicy,
} from "./claim_table.ts";

/** The claims of one partition, updated from the log. */
export interface ClaimView {
  find(key: string): Claim | undefined;
  /** Whether all claims appended since a time, by the log's clock, were read. */
  isCompleteSince(timeMs: number): boolean;
  /** Offset at which the next read continues. */
  reachedOffset(): number;
  /** Waits until the record at an offset is applied. */
  waitForOffset(offset: number): Effect.Effect<void>;
  /** Waits until the claim of a key is no longer the given one. */
  waitForChange(key: string, claim: Claim): Effect.Effect<void>;
}

/** Options of a view. */
export interface ClaimViewOptions {
  readonly log: LogService;
  readonly stream: string;
  readonly policy: ClaimTablePolicy;
}

const READ_PAUSE_MS = 10;

/** Follows one partition in the background until the scope closes. */
export function createClaimView(
  options: ClaimViewOptions,
): Effect.Effect<ClaimView, never, Scope.Scope> {
  return Effect.gen(function* () {
    const view = new LogClaimView(options.policy);
    yield* Effect.forkScoped(followFrom(0, { options, view }));
    return view;
  });
}

interface FollowContext {
  readonly options: ClaimViewOptions;
  readonly view: LogClaimView;
}

/**
 * Follows from an offset. If retention removed records that were not read,
 * starts again with an empty table at the first retained one.
 */
function followFrom(
  fromOffset: number,
  context: FollowContext,
): Effect.Effect<never> {
  const { options, view } = context;
  return followLog({
    log: options.log,
    stream: options.stream,
    fromOffset,
    pauseMs: READ_PAUSE_MS,
    onPage: (page, nowMs) => view.applyPage(page, nowMs),
  }).pipe(
    Effect.catchTag("LogTruncated", ({ firstOffset }) => {
      view.restart();
      return followFrom(firstOffset, context);
    }),
  );
}

interface SharedWait {
  readonly ended: Deferred.Deferred<void>;
  waiterCount: number;
}

class LogClaimView implements ClaimView {
  readonly #policy: ClaimTablePolicy;
  readonly #changeWaiters = new Map<string, SharedWait>();
  readonly #offsetWaiters = new Map<number, SharedWait>();
  #table: ClaimTable;
  #nextOffset = 0;
  /** Time before which records were missed; undefined until it is known. */
  #completeSinceMs: number | undefined = Number.NEGATIVE_INFINITY;

  constructor(policy: ClaimTablePolicy) {
    this.#policy = policy;
    this.#table = new ClaimTable(policy);
  }

  find(key: string): Claim | undefined {
    return this.#table.find(key);
  }

  isCompleteSince(timeMs: number): boolean {
    return this.#completeSinceMs !== undefined &&
      timeMs > this.#completeSinceMs;
  }

  reachedOffset(): number {
    return this.#nextOffset;
  }

  waitForOffset(offset: number): Effect.Effect<void> {
    return Effect.suspend(() =>
      this.#nextOffset > offset
        ? Effect.void
        : awaitShared(this.#offsetWaiters, offset)
    );
  }

  waitForChange(key: string, claim: Claim): Effect.Effect<void> {
    return Effect.suspend(() =>
      this.#table.find(key) !== claim
        ? Effect.void
        : awaitShared(this.#changeWaiters, key)
    );
  }

  /** Clears the table, as the records removed by retention are unknown. */
  restart(): void {
    this.#table = new ClaimTable(this.#policy);
    this.#completeSinceMs = undefined;
  }

  applyPage(page: LogPage, nowMs: number): void {
    const firstMs = page.entries[0]?.appendedAtMs ??
      nowMs + this.#policy.maxClockErrorMs;
    this.#completeSinceMs ??= firstMs;
    for (const entry of page.entries) {
      const changedKey = this.#table.apply(entry);
      if (changedKey !== undefined) release(this.#changeWaiters, changedKey);
    }
    this.#nextOffset = page.nextOffset;
    for (const offset of this.#offsetWaiters.keys()) {
      if (offset < this.#nextOffset) release(this.#offsetWaiters, offset);
    }
  }
}

function awaitShared<Key>(
  waits: Map<Key, SharedWait>,
  key: Key,
): Effect.Effect<void> {
  const wait = waits.get(key) ??
    { ended: Deferred.makeUnsafe<void>(), waiterCount: 0 };
  waits.set(key, wait);
  wait.waiterCount += 1;
  const stopWaiting = Effect.sync(() => {
    wait.waiterCount -= 1;
    if (wait.waiterCount === 0 && waits.get(key) === wait) waits.delete(key);
  });
  return Effect.onInterrupt(Deferred.await(wait.ended), () => stopWaiting);
}

function release<Key>(waits: Map<Key, SharedWait>, key: Key): void {
  const wait = waits.get(key);
  if (wait === undefined) return;
  waits.delete(key);
  Deferred.doneUnsafe(wait.ended, Effect.void);
}
