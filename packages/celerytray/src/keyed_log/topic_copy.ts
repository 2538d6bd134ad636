import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { KeyedChange } from "./follow_topic.ts";
import type { KeyedRecord } from "./keyed_log.ts";
import type { LogPosition } from "./position.ts";

/** A record as sent to other processes. */
export interface RelayedRecord {
  readonly key: string;
  /** The value as text; absent if it is compressed or the key was deleted. */
  readonly text?: string;
  /** A long value, compressed with raw deflate and encoded in base64. */
  readonly packed?: string;
  readonly offset: number;
}

/** Changes of a topic as sent to another process. */
export interface RelayedChange {
  readonly records: readonly RelayedRecord[];
  readonly nextOffset: number;
}

/** Values of at least this length are compressed. */
const MIN_COMPRESSED_BYTES = 4_096;
/** Bounds the memory that a received value may take. */
const MAX_DECOMPRESSED_BYTES = 8 * 1024 * 1024;
/**
 * Number of records above which deleted keys are forgotten, oldest first. Until
 * then they are kept for processes that lag behind.
 */
const MAX_RECORDS_WITH_DELETED = 2_000;

/** Number of gaps that are kept; before them, changes count as unknown. */
const MAX_GAPS = 16;

/**
 * Positions, without both ends, that a full read jumped over. A key may have
 * been written and deleted between them, of which the copy knows nothing.
 */
interface Gap {
  readonly from: LogPosition;
  readonly to: LogPosition;
}

/** The newest record of each key of a topic, to be relayed to other processes. */
export class TopicCopy {
  readonly #records = new Map<string, KeyedRecord>();
  /** Cache of the value that was compressed last, by its offset. */
  readonly #compressed = new Map<number, string>();
  #nextOffset = 0;
  /**
   * Offset from which on every change is known, including deletions, but for
   * those within gaps.
   */
  #completeFrom: number | undefined;
  /** Gaps in ascending order. */
  #gaps: readonly Gap[] = [];

  /** Offset up to which records are known. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  apply(change: {
    readonly records: readonly KeyedRecord[];
    readonly nextOffset: number;
    readonly isFullRead: boolean;
  }): void {
    if (change.isFullRead) {
      this.#markMissingDeleted(change);
      this.#noteGap(change.nextOffset);
    }
    for (const record of change.records) {
      const known = this.#records.get(record.key);
      if (known !== undefined && known.offset > record.offset) continue;
      // Moves the key to the end, so that the map is in offset order.
      this.#records.delete(record.key);
      this.#records.set(record.key, record);
    }
    this.#nextOffset = Math.max(this.#nextOffset, change.nextOffset);
    // Keys that were deleted before the first read are unknown.
    this.#completeFrom ??= this.#nextOffset;
    this.#forgetDeleted();
  }

  /** Lists the newest records of keys with a prefix, including deleted keys. */
  list(prefix: string): readonly KeyedRecord[] {
    return [...this.#records.values()].filter(({ key }) =>
      key.startsWith(prefix)
    );
  }

  /** Whether every change from an offset on is known, including deletions. */
  isCompleteSince(offset: number): boolean {
    return this.#completeFrom !== undefined && offset >= this.#completeFrom &&
      !this.#gaps.some(({ from, to }) => from < offset && offset < to);
  }

  /** Lists the newest records from an offset on; none if they are incomplete. */
  listChangesSince(offset: number): RelayedChange {
    if (offset >= this.#nextOffset || !this.isCompleteSince(offset)) {
      return { records: [], nextOffset: this.#nextOffset };
    }
    const records = [...this.#records.values()]
      .filter((record) => record.offset >= offset)
      .map((record) => this.#encodeRecord(record));
    return { records, nextOffset: this.#nextOffset };
  }

  #encodeRecord(record: KeyedRecord): RelayedRecord {
    const { key, value, offset } = record;
    if (value === undefined || value.length < MIN_COMPRESSED_BYTES) {
      return encodeRelayedRecord(record);
    }
    let packed = this.#compressed.get(offset);
    if (packed === undefined) {
      packed = pack(value);
      this.#compressed.clear();
      this.#compressed.set(offset, packed);
    }
    return { key, packed, offset };
  }

  /** Marks keys as deleted that a full read does not contain. */
  #markMissingDeleted(
    { records, nextOffset }: {
      readonly records: readonly KeyedRecord[];
      readonly nextOffset: number;
    },
  ): void {
    const present = new Set(records.map(({ key }) => key));
    for (const [key, { value, offset }] of [...this.#records]) {
      if (present.has(key) || value === undefined) continue;
      // Records that a peer relayed during the read are newer than the read.
      if (offset >= nextOffset) continue;
      this.#records.delete(key);
      this.#records.set(key, { key, offset: Math.max(0, nextOffset - 1) });
    }
  }

  /** Notes what a full read up to an offset jumped over. */
  #noteGap(to: LogPosition): void {
    const from = this.#nextOffset;
    if (this.#completeFrom === undefined || to <= from) return;
    const gaps = [...this.#gaps, { from, to }];
    const forgotten = gaps.length > MAX_GAPS ? gaps.shift() : undefined;
    this.#completeFrom = Math.max(this.#completeFrom, forgotten?.to ?? 0);
    this.#gaps = gaps;
  }

  #forgetDeleted(): void {
    if (this.#records.size <= MAX_RECORDS_WITH_DELETED) return;
    for (const [key, { value, offset }] of this.#records) {
      if (value === undefined) {
        this.#records.delete(key);
        this.#completeFrom = Math.max(this.#completeFrom ?? 0, offset + 1);
      }
      if (this.#records.size <= MAX_RECORDS_WITH_DELETED) return;
    }
  }
}

/** Encodes a record to be sent to other processes. */
export function encodeRelayedRecord(
  { key, value, offset }: KeyedRecord,
): RelayedRecord {
  if (value === undefined) return { key, offset };
  return value.length < MIN_COMPRESSED_BYTES
    ? { key, text: value.toString("utf8"), offset }
    : { key, packed: pack(value), offset };
}

function pack(value: Buffer): string {
  return deflateRawSync(value).toString("base64");
}

/** Decodes a relayed change into records as they are stored. */
export function decodeRelayedChange(
  { records, nextOffset }: RelayedChange,
): Omit<KeyedChange, "freshAtMs"> {
  return {
    isFullRead: false,
    records: records.map(decodeRelayedRecord),
    nextOffset,
  };
}

/** Decodes a relayed record into one as it is stored. */
export function decodeRelayedRecord(
  { key, text, packed, offset }: RelayedRecord,
): KeyedRecord {
  if (packed !== undefined) {
    const deflated = Buffer.from(packed, "base64");
    const bounds = { maxOutputLength: MAX_DECOMPRESSED_BYTES };
    return { key, value: inflateRawSync(deflated, bounds), offset };
  }
  return text === undefined
    ? { key, offset }
    : { key, value: Buffer.from(text, "utf8"), offset };
}
