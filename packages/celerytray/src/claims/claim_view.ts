import { Deferred, Effect, type Scope } from "effect";
import { followLog, type LogPage, type LogService } from "../log/index.ts";
import {
  type Claim,
  ClaimTable,
  type ClaimTablePolicy,
} from "./claim_table.ts";

/** One partition's claims, kept current. */
export interface ClaimView {
  find(key: string): Claim | undefined;
  /** Whether every claim appended since a time was read; log's clock. */
  isCompleteSince(timeMs: number): boolean;
  /** Offset at which the next read continues. */
  reachedOffset(): number;
  /** Waits until the record at an offset is folded. */
  waitForOffset(offset: number): Effect.Effect<void>;
  /** Waits until a key is no longer held by a claim as it stands. */
  waitForChange(key: string, claim: Claim): Effect.Effect<void>;
}

/** Options of a view. */
export interface ClaimViewOptions {
  readonly log: LogService;
  readonly stream: string;
  readonly policy: ClaimTablePolicy;
}

const READ_PAUSE_MS = 10;

/** Folds one partition in the background until the scope closes. */
export function createClaimView(
  options: ClaimViewOptions,
): Effect.Effect<ClaimView, never, Scope.Scope> {
  return Effect.gen(function* () {
    const fold = new ClaimViewFold(options.policy);
    yield* Effect.forkScoped(followFrom(0, { options, fold }));
    return fold;
  });
}

interface Following {
  readonly options: ClaimViewOptions;
  readonly fold: ClaimViewFold;
}

/** Starts anew, with less history, where retention went past the reader. */
function followFrom(
  fromOffset: number,
  following: Following,
): Effect.Effect<never> {
  const { options, fold } = following;
  return followLog({
    log: options.log,
    stream: options.stream,
    fromOffset,
    pauseMs: READ_PAUSE_MS,
    onPage: (page, nowMs) => fold.applyPage(page, nowMs),
  }).pipe(
    Effect.catchTag("LogTruncated", ({ firstOffset }) => {
      fold.restart();
      return followFrom(firstOffset, following);
    }),
  );
}

interface SharedWait {
  readonly ended: Deferred.Deferred<void>;
  waiterCount: number;
}

class ClaimViewFold implements ClaimView {
  readonly #policy: ClaimTablePolicy;
  readonly #changeWaiters = new Map<string, SharedWait>();
  readonly #offsetWaiters = new Map<number, SharedWait>();
  #table: ClaimTable;
  #nextOffset = 0;
  /** Records before it are not known; undefined until that is known. */
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

  /** Forgets everything; what was removed in between is not known. */
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
  const leave = Effect.sync(() => {
    wait.waiterCount -= 1;
    if (wait.waiterCount === 0 && waits.get(key) === wait) waits.delete(key);
  });
  return Effect.onInterrupt(Deferred.await(wait.ended), () => leave);
}

function release<Key>(waits: Map<Key, SharedWait>, key: Key): void {
  const wait = waits.get(key);
  if (wait === undefined) return;
  waits.delete(key);
  Deferred.doneUnsafe(wait.ended, Effect.void);
}
