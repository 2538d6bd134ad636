/** A record as the stand-in keeps it. */
export interface StoredFakeRecord {
  readonly offset: number;
  readonly appendedAtMs: number;
  readonly record: unknown;
}

/** Faults that can be switched on. */
export interface FakeLogFaults {
  /** Every call fails at once. */
  readonly isOut?: boolean;
  /** Appends take effect, their answers are lost. */
  readonly losesAnswers?: boolean;
  /** Added to every call. */
  readonly delayMs?: number;
  /** Answers of appends are lost, and they take effect so much later. */
  readonly lateAppendMs?: number;
  /** Calls are taken and never answered, without effect. */
  readonly isSilent?: boolean;
  /** Appends taken in a second; further ones are refused. */
  readonly maxAppendsPerSecond?: number;
  /** Records older than this are removed at the next append. */
  readonly retentionMs?: number;
}

/** What a read returns. */
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

/** Streams of records in memory; the same for processes and in-process tests. */
export class FakeLog {
  faults: FakeLogFaults = {};
  readonly #streams = new Map<string, FakeStream>();
  readonly #waiters = new Set<() => void>();
  readonly #appendTimesMs: number[] = [];

  /** Appends a batch and returns the offset of its first record. */
  append(
    name: string,
    options: { readonly records: readonly unknown[]; readonly nowMs: number },
  ): number {
    const stream = this.#open(name);
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
    for (const wake of [...this.#waiters]) wake();
    return firstOffset;
  }

  /** Takes one append of the limited rate; false above it. */
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
    const { records, nextOffset } = this.#open(name);
    const kept = records.find(({ appendedAtMs }) => appendedAtMs >= beforeMs);
    this.truncate(name, kept?.offset ?? nextOffset);
  }

  /** Reads records; undefined if retention removed the first one asked for. */
  read(
    name: string,
    options: { readonly fromOffset: number; readonly limit: number },
  ): FakeLogPage | undefined {
    const stream = this.#open(name);
    if (options.fromOffset < stream.firstOffset) return undefined;
    const start = options.fromOffset - stream.firstOffset;
    return {
      firstOffset: stream.firstOffset,
      nextOffset: stream.nextOffset,
      records: stream.records.slice(start, start + options.limit),
    };
  }

  /** Oldest offset kept. */
  firstOffset(name: string): number {
    return this.#open(name).firstOffset;
  }

  /** Offset that the next append gets. */
  nextOffset(name: string): number {
    return this.#open(name).nextOffset;
  }

  /** Removes the records before an offset. */
  truncate(name: string, beforeOffset: number): void {
    const stream = this.#open(name);
    const removed = Math.max(0, beforeOffset - stream.firstOffset);
    stream.records.splice(0, removed);
    stream.firstOffset = Math.min(
      Math.max(stream.firstOffset, beforeOffset),
      stream.nextOffset,
    );
  }

  /** Calls back at each append until the function returned is called. */
  onAppend(wake: () => void): () => void {
    this.#waiters.add(wake);
    return () => this.#waiters.delete(wake);
  }

  #open(name: string): FakeStream {
    let stream = this.#streams.get(name);
    if (stream === undefined) {
      stream = { firstOffset: 0, nextOffset: 0, records: [] };
      this.#streams.set(name, stream);
    }
    return stream;
  }
}
