import { eraOf, type LogPosition } from "../keyed_log/index.ts";

/**
 * Time after which instances have written their entries anew to a store that
 * came back from an older copy. What is missing then is gone.
 */
export const REWRITE_MS = 2_000;

/**
 * Tells entries of an older copy, from which the store came back, from entries
 * that were written after its return. In era 0 the store has never come back.
 */
export class StoreReturn {
  #era = 0;
  #sinceMs = Number.NEGATIVE_INFINITY;
  /** Position from which on entries were written after the return. */
  #writtenFrom: LogPosition = 0;

  /**
   * Notes the end of the list as it was read at a time; true if it is of a later
   * era than all before.
   */
  noteEnd(end: LogPosition, nowMs: number): boolean {
    if (eraOf(end) <= this.#era) return false;
    this.#era = eraOf(end);
    this.#sinceMs = nowMs;
    this.#writtenFrom = end;
    return true;
  }

  /** Whether an entry may be of the copy, and so older than one of before. */
  mayBeCopied(position: LogPosition): boolean {
    return position < this.#writtenFrom;
  }

  /** Whether a position is of an era before the current one. */
  isOfEarlierEra(position: LogPosition): boolean {
    return eraOf(position) < this.#era;
  }

  /** Whether instances have had the time to write their entries anew. */
  hasSettled(nowMs: number): boolean {
    return nowMs - this.#sinceMs >= REWRITE_MS;
  }
}
