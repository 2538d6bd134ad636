import { eraOf, type EraStart, type LogPosition } from "../keyed_log/index.ts";

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
  #start: EraStart = {
    copyEnd: 0,
    returnedAtMs: Number.NEGATIVE_INFINITY,
  };

  /** The start of the current era; undefined in era 0. */
  get eraStart(): EraStart | undefined {
    return this.#era === 0 ? undefined : this.#start;
  }

  /**
   * Notes what is known of the start of an era; true if it is a later era than
   * all before. The earliest times and positions hold.
   */
  note(start: EraStart): boolean {
    const era = eraOf(start.copyEnd);
    if (era < this.#era) return false;
    if (era > this.#era) {
      this.#start = start;
      return true;
    }
    const { copyEnd, returnedAtMs } = this.#start;
    this.#start = {
      copyEnd: Math.min(copyEnd, start.copyEnd),
      returnedAtMs: Math.min(returnedAtMs, start.returnedAtMs),
    };
    return false;
  }

  /** Whether an entry may be of the copy, and so older than one of before. */
  mayBeCopied(position: LogPosition): boolean {
    return position < this.#start.copyEnd;
  }

  /** Whether a position is of an era before the current one. */
  isOfEarlierEra(position: LogPosition): boolean {
    return eraOf(position) < this.#era;
  }

  /** Whether instances have had the time to write their entries anew. */
  hasSettled(nowMs: number): boolean {
    return nowMs - this.#start.returnedAtMs >= REWRITE_MS;
  }

  get #era(): number {
    return eraOf(this.#start.copyEnd);
  }
}
