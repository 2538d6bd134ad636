/** A record as the fake stores it. */
export interface StoredFakeRecord {
  readonly offset: number;
  readonly appendedAtMs: number;
  readonly record: unknown;
}

/** Faults of the fake log. */
export interface FakeLogFaults {
  /** Every call fails at once. */
  readonly isOut?: boolean;
  /** Appends take effect, but their responses are lost. */
  readonly losesAnswers?: boolean;
  /** Delay of every call. */
  readonly delayMs?: number;
  /** Responses to appends are lost, and the appends take effect this much later. */
  readonly lateAppendMs?: number;
  /** Calls are accepted, but have no effect and are never answered. */
  readonly isSilent?: boolean;
  /** Maximum number of appends a second; further ones are refused. */
  readonly maxAppendsPerSecond?: number;
  /** Age above which records are removed at the next append. */
  readonly retentionMs?: number;
}

/** The result of a read. */
export interface FakeLogPage {
  readonly firstOffset: number;
  readonly nextOffset: number;
  readonly records: readonly StoredFakeRecord[];
}

interface FakeStream {
  firstOffset: number;
  nextOffset: number;
  records: StoredFakeRecord[];
}

const MS_PER_SECOND = 1_000;

/** In-memory streams of records, used by the HTTP server and by in-process tests. */
export class FakeLog {
  faults: FakeLogFaults = {};
  readonly #streams = new Map<string, FakeStream>();
  readonly #listeners = new Set<() => void>();
  readonly #appendTimesMs: number[] = [];

  /** Appends a batch; returns the offset of its first record. */
  append(
    name: string,
    options: { readonly records: readonly unknown[]; readonly nowMs: number },
  ): number {
    const stream = this.#getOrCreateStream(name);
    const firstOffset = stream.nextOffset;
    for (const record of options.records) {
      stream.records.push({
        offset: stream.nextOffset,
        appendedAtMs: options.nowMs,
        record,
      });
      stream.nextOffset += 1;
    }
    const { retentionMs } = this.faults;
    if (retentionMs !== undefined) {
      this.removeOlder(name, options.nowMs - retentionMs);
    }
    for (const listener of [...this.#listeners]) listener();
    return firstOffset;
  }

  /** Counts one append against the rate limit; returns false if the limit is exceeded. */
  admitAppend(nowMs: number): boolean {
    const { maxAppendsPerSecond } = this.faults;
    if (maxAppendsPerSecond === undefined) return true;
    const times = this.#appendTimesMs;
    while (times.length > 0 && times[0]! <= nowMs - MS_PER_SECOND) {
      times.shift();
    }
    if (times.length >= maxAppendsPerSecond) return false;
    times.push(nowMs);
    return true;
  }

  /** Removes the records appended before a time. */
  removeOlder(name: string, beforeMs: number): void {
    const { records, nextOffset } = this.#getOrCreateStream(name);
    const kept = records.find(({ appendedAtMs }) => appendedAtMs >= beforeMs);
    this.truncate(name, kept?.offset ?? nextOffset);
  }

  /**
   * Reads records from an offset on; undefined if the record at that offset was
   * removed.
   */
  read(
    name: string,
    options: { readonly fromOffset: number; readonly limit: number },
  ): FakeLogPage | undefined {
    const stream = this.#getOrCreateStream(name);
    if (options.fromOffset < stream.firstOffset) return undefined;
    const start = options.fromOffset - stream.firstOffset;
    return {
      firstOffset: stream.firstOffset,
      nextOffset: stream.nextOffset,
      records: stream.records.slice(start, start + options.limit),
    };
  }

  /** Offset of the oldest record that is kept. */
  firstOffset(name: string): number {
    return this.#getOrCreateStream(name).firstOffset;
  }

  /** Offset of the next record to be appended. */
  nextOffset(name: string): number {
    return this.#getOrCreateStream(name).nextOffset;
  }

  /** Removes the records before an offset. */
  truncate(name: string, beforeOffset: number): void {
    const stream = this.#getOrCreateStream(name);
    const removedCount = Math.max(0, beforeOffset - stream.firstOffset);
    stream.records.splice(0, removedCount);
    stream.firstOffset = Math.min(
      Math.max(stream.firstOffset, beforeOffset),
      stream.nextOffset,
    );
  }

  /**
   * Calls the listener at each append to any stream; returns a function that
   * removes it.
   */
  onAppend(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #getOrCreateStream(name: string): FakeStream {
    let stream = this.#streams.get(name);
    if (stream === undefined) {
      stream = { firstOffset: 0, nextOffset: 0, records: [] };
      this.#streams.set(name, stream);
    }
    return stream;
  }
}
