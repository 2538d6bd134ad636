import type { Effect } from "effect";

/** The state computed from a stream's records, updated as they arrive. */
export interface StreamView<State> {
  /** The state after the last record read. */
  readonly current: () => State;
  /** Offset at which the next read continues. */
  readonly nextOffset: () => number;
  /** Time of the log service's last answer; undefined before the first. */
  readonly readAtMs: () => number | undefined;
  /** Next offset of the snapshot that was restored; 0 without one. */
  readonly snapshotOffset: () => number;
  /** Why the state can't be updated until a snapshot is available. */
  readonly failedReason: () => string | undefined;
  /** Waits until the record at an offset is applied. */
  readonly waitForOffset: (offset: number) => Effect.Effect<void>;
}
