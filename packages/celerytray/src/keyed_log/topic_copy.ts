import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { KeyedChange } from "./follow_keyed.ts";
import type { KeyedRecord } from "./keyed_log.ts";

/** A record as other processes are told it. */
export interface RelayedRecord {
  readonly key: string;
  /** The value as text; none where it is packed, or the key was dropped. */
  readonly text?: string;
  /** A long value, deflated, in base64. */
  readonly packed?: string;
  readonly offset: number;
}

/** What a process is told of a topic. */
export interface RelayedChange {
  readonly records: readonly RelayedRecord[];
  readonly nextOffset: number;
}

/** Length from which on a value is packed. */
const MIN_PACKED_BYTES = 4_096;
/** Longest value that is unpacked. */
const MAX_UNPACKED_BYTES = 8 * 1024 * 1024;
/** Dropped keys that are remembered, for processes that lag behind. */
const MAX_DROPPED_KEYS = 2_000;

/** The newest record of each key of a topic, to be told to others. */
export class TopicCopy {
  readonly #records = new Map<string, KeyedRecord>();
  /** The packed form of the long value that was told last, by its offset. */
  readonly #packed = new Map<number, string>();
  #nextOffset = 0;
  /** Offset from which on every change is known. */
  #completeFrom: number | undefined;

  /** Offset up to which records are known. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  apply(change: {
    readonly records: readonly KeyedRecord[];
    readonly nextOffset: number;
    readonly isFullRead: boolean;
  }): void {
    if (change.isFullRead) this.#dropMissing(change);
    for (const record of change.records) {
      const known = this.#records.get(record.key);
      if (known !== undefined && known.offset > record.offset) continue;
      // Put last, so that the map is in the order of offsets.
      this.#records.delete(record.key);
      this.#records.set(record.key, record);
    }
    this.#nextOffset = Math.max(this.#nextOffset, change.nextOffset);
    // What a first reading no longer holds may have been dropped before.
    this.#completeFrom ??= this.#nextOffset;
    this.#forgetDropped();
  }

  /** The newest records of the keys that begin with a prefix, drops included. */
  list(prefix: string): readonly KeyedRecord[] {
    return [...this.#records.values()].filter(({ key }) =>
      key.startsWith(prefix)
    );
  }

  /** Whether it knows of every change from an offset on, drops included. */
  isCompleteSince(offset: number): boolean {
    return this.#completeFrom !== undefined && offset >= this.#completeFrom;
  }

  /** The newest records from an offset on. */
  listChangesSince(offset: number): RelayedChange {
    if (offset >= this.#nextOffset || !this.isCompleteSince(offset)) {
      return { records: [], nextOffset: this.#nextOffset };
    }
    const records = [...this.#records.values()]
      .filter((record) => record.offset >= offset)
      .map((record) => this.#relay(record));
    return { records, nextOffset: this.#nextOffset };
  }

  #relay({ key, value, offset }: KeyedRecord): RelayedRecord {
    if (value === undefined) return { key, offset };
    if (value.length < MIN_PACKED_BYTES) {
      return { key, text: value.toString("utf8"), offset };
    }
    let packed = this.#packed.get(offset);
    if (packed === undefined) {
      packed = deflateRawSync(value).toString("base64");
      this.#packed.clear();
      this.#packed.set(offset, packed);
    }
    return { key, packed, offset };
  }

  /** Keys that a whole reading no longer has were dropped before its end. */
  #dropMissing(
    { records, nextOffset }: {
      readonly records: readonly KeyedRecord[];
      readonly nextOffset: number;
    },
  ): void {
    const present = new Set(records.map(({ key }) => key));
    for (const [key, { value, offset }] of [...this.#records]) {
      if (present.has(key) || value === undefined) continue;
      // Records that came from a peer during the reading are newer than it.
      if (offset >= nextOffset) continue;
      this.#records.delete(key);
      this.#records.set(key, { key, offset: Math.max(0, nextOffset - 1) });
    }
  }

  #forgetDropped(): void {
    if (this.#records.size <= MAX_DROPPED_KEYS) return;
    for (const [key, { value, offset }] of this.#records) {
      if (value === undefined) {
        this.#records.delete(key);
        this.#completeFrom = Math.max(this.#completeFrom ?? 0, offset + 1);
      }
      if (this.#records.size <= MAX_DROPPED_KEYS) return;
    }
  }
}

/** What another process told, with the records as they were stored. */
export function decodeRelayedChange(
  { records, nextOffset }: RelayedChange,
): Omit<KeyedChange, "freshAtMs"> {
  return {
    isFullRead: false,
    records: records.map(readRelayedRecord),
    nextOffset,
  };
}

function readRelayedRecord(
  { key, text, packed, offset }: RelayedRecord,
): KeyedRecord {
  if (packed !== undefined) {
    const deflated = Buffer.from(packed, "base64");
    const bounds = { maxOutputLength: MAX_UNPACKED_BYTES };
    return { key, value: inflateRawSync(deflated, bounds), offset };
  }
  return text === undefined
    ? { key, offset }
    : { key, value: Buffer.from(text, "utf8"), offset };
}
