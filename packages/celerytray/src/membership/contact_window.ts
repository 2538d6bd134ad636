/** Limits of isolation. */
export interface ContactWindowOptions {
  /** Time without contact that counts; 0 switches the check off. */
  readonly timeoutMs: number;
  readonly startedAtMs: number;
}

/** Silence of the log after which peers are sounded more often. */
const LOG_SILENCE_MS = 2_000;

interface Contact {
  readonly atMs: number;
  readonly isReached: boolean;
}

/** The latest contacts with peers, to tell an outage from isolation. */
export class ContactWindow {
  readonly #options: ContactWindowOptions;
  readonly #contacts = new Map<string, Contact>();

  constructor(options: ContactWindowOptions) {
    this.#options = options;
  }

  /** Takes note of the outcome of a contact, in either direction. */
  note(instanceId: string, contact: Contact): void {
    this.#contacts.set(instanceId, contact);
  }

  /** Whether the log is silent, so that more peers should be sounded. */
  isLogSilent(logReadAtMs: number | undefined, nowMs: number): boolean {
    return nowMs - (logReadAtMs ?? this.#options.startedAtMs) > LOG_SILENCE_MS;
  }

  /**
   * Why this instance must refuse requests: it is cut off from the log and
   * from half or more of the peers it tried. A log outage that all see is no
   * reason.
   */
  findIsolationReason(
    logReadAtMs: number | undefined,
    nowMs: number,
  ): string | undefined {
    const { timeoutMs, startedAtMs } = this.#options;
    if (timeoutMs === 0) return undefined;
    if (nowMs - (logReadAtMs ?? startedAtMs) <= timeoutMs) return undefined;
    const recent = this.#listRecent(nowMs);
    const lostCount = recent.filter(({ isReached }) => !isReached).length;
    if (recent.length === 0 || 2 * lostCount < recent.length) return undefined;
    return `it is cut off from the log and from ${lostCount} of ${recent.length} other entry instances tried`;
  }

  #listRecent(nowMs: number): Contact[] {
    for (const [instanceId, { atMs }] of this.#contacts) {
      if (nowMs - atMs > this.#options.timeoutMs) {
        this.#contacts.delete(instanceId);
      }
    }
    return [...this.#contacts.values()];
  }
}
