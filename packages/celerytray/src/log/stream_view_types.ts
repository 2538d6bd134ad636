import type { Effect } from "effect";

/** A stream's folded state, kept current. */
export interface StreamView<State> {
  /** The state as of the last record read. */
  readonly current: () => State;
  /** Offset at which the next read continues. */
  readonly nextOffset: () => number;
  /** When the log service last answered; undefined before the first answer. */
  readonly readAtMs: () => number | undefined;
  /** Offset up to which the snapshot started from holds; 0 without one. */
  readonly snapshotOffset: () => number;
  /** Why the state is out of date for good, until a snapshot mends it. */
  readonly failedReason: () => string | undefined;
  /** Waits until the record at an offset is folded. */
  readonly waitForOffset: (offset: number) => Effect.Effect<void>;
}
