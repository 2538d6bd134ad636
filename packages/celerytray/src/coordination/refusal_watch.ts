/** A report to the leader that ended, with or without a reply. */
export interface ReportEnd {
  /** Whether the leader's address refused the connection. */
  readonly isRefused: boolean;
  readonly nowMs: number;
}

/** Time for which an address refuses all connections of a process that is down. */
const DOWN_AFTER_REFUSED_MS = 400;
/** Refusals without which that time may be one in which nothing was tried. */
const MIN_REFUSALS = 3;

/**
 * Tells a process that is down from one whose address refuses connections for a
 * moment, as a full queue of connections does.
 */
export class RefusalWatch {
  #sinceMs = 0;
  #refusals = 0;

  /** Time for which all reports were refused. */
  refusedMs(nowMs: number): number {
    return this.#refusals === 0 ? 0 : nowMs - this.#sinceMs;
  }

  /** Notes how a report ended; whether the process is down. */
  note({ isRefused, nowMs }: ReportEnd): boolean {
    if (!isRefused) {
      this.#refusals = 0;
      return false;
    }
    if (this.#refusals === 0) this.#sinceMs = nowMs;
    this.#refusals += 1;
    return this.#refusals >= MIN_REFUSALS &&
      this.refusedMs(nowMs) >= DOWN_AFTER_REFUSED_MS;
  }
}
