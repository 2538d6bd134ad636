import {
  eraOf,
  type KeyedRecord,
  type LogPosition,
} from "../keyed_log/index.ts";

/** Options of an evacuation view. */
export interface EvacuationViewOptions {
  /** Prefix of the keys of evacuated zones. */
  readonly prefix: string;
  readonly onStarted: (zone: string) => void;
  readonly onEnded: (zone: string, evacuatedMs: number) => void;
  /** Called once for each record with an invalid key or value. */
  readonly onMalformed: (key: string, message: string) => void;
}

/** A zone that must get no requests. */
export interface Evacuation {
  readonly zone: string;
  readonly ageMs: number;
}

/** How far and when the topic's records are known. */
export interface RecordsRead {
  readonly nowMs: number;
  /** Position up to which they are known. */
  readonly readTo: LogPosition;
}

/**
 * Time in which the operator has written anew what the store lacks that came
 * back from an older copy.
 */
const REWRITE_MS = 2_000;

interface SeenRecord {
  readonly offset: LogPosition;
  /**
   * Time at which the evacuation began; undefined if the zone is not evacuated.
   */
  readonly sinceMs?: number;
}

/**
 * Tracks the zones that the operator has evacuated, by the keys of the topic.
 */
export class EvacuationView {
  readonly #options: EvacuationViewOptions;
  readonly #seen = new Map<string, SeenRecord>();
  #zones: ReadonlySet<string> = new Set();
  #revision = 0;
  #isLoaded = false;
  #era = 0;
  /** Time at which the store was first known to be in this era. */
  #eraSinceMs = Number.NEGATIVE_INFINITY;
  #hasKept = false;

  constructor(options: EvacuationViewOptions) {
    this.#options = options;
  }

  /** Increases with each change of the evacuated zones. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Whether an evacuation goes on only because the store's older copy may lack
   * it, so that an update is due without new records.
   */
  get hasKept(): boolean {
    return this.#hasKept;
  }

  isEvacuated(zone: string): boolean {
    return this.#zones.has(zone);
  }

  list(nowMs: number): readonly Evacuation[] {
    return [...this.#seen].flatMap(([key, { sinceMs }]) =>
      sinceMs === undefined
        ? []
        : [{ zone: this.#zoneOf(key), ageMs: nowMs - sinceMs }]
    );
  }

  /**
   * Applies the newest records of all keys with the prefix, deletions included.
   * What a store lacks that has just come back may be newer than its copy.
   */
  update(records: readonly KeyedRecord[], read: RecordsRead): void {
    const { nowMs } = read;
    this.#noteEra(read);
    this.#hasKept = false;
    const present = new Set(records.map(({ key }) => key));
    const ended: { zone: string; evacuatedMs: number }[] = [];
    const started: string[] = [];
    for (const [key, seen] of this.#seen) {
      if (present.has(key) || this.#keeps(seen, nowMs)) continue;
      const { sinceMs } = seen;
      this.#seen.delete(key);
      if (sinceMs === undefined) continue;
      ended.push({ zone: this.#zoneOf(key), evacuatedMs: nowMs - sinceMs });
    }
    for (const record of records) {
      const { key, value, offset } = record;
      const seen = this.#seen.get(key);
      if (seen !== undefined && seen.offset >= offset) continue;
      const zone = this.#zoneOf(key);
      if (value === undefined) {
        if (seen !== undefined && this.#keeps(seen, nowMs)) continue;
        this.#seen.set(key, { offset });
        // An evacuation that began and ended since the last update counts as
        // ended too.
        const hasEnded = seen?.sinceMs !== undefined || this.#isLoaded;
        if (hasEnded && zone !== "") {
          ended.push({ zone, evacuatedMs: nowMs - (seen?.sinceMs ?? nowMs) });
        }
        continue;
      }
      this.#checkRecord(record);
      if (zone === "") {
        this.#seen.set(key, { offset });
        continue;
      }
      this.#seen.set(key, { offset, sinceMs: seen?.sinceMs ?? nowMs });
      if (seen?.sinceMs === undefined) started.push(zone);
    }
    this.#isLoaded = true;
    if (started.length + ended.length === 0) return;
    this.#zones = new Set(this.list(nowMs).map(({ zone }) => zone));
    this.#revision += 1;
    for (const { zone, evacuatedMs } of ended) {
      this.#options.onEnded(zone, evacuatedMs);
    }
    for (const zone of started) this.#options.onStarted(zone);
  }

  /** Notes the store's era; the first one known is no return. */
  #noteEra({ readTo, nowMs }: RecordsRead): void {
    const era = eraOf(readTo);
    if (era <= this.#era) return;
    this.#era = era;
    if (this.#isLoaded) this.#eraSinceMs = nowMs;
  }

  /** Whether an evacuation of an earlier era goes on although its key is gone. */
  #keeps({ offset, sinceMs }: SeenRecord, nowMs: number): boolean {
    const isKept = sinceMs !== undefined && eraOf(offset) < this.#era &&
      nowMs - this.#eraSinceMs < REWRITE_MS;
    this.#hasKept ||= isKept;
    return isKept;
  }

  #zoneOf(key: string): string {
    return key.slice(this.#options.prefix.length);
  }

  /**
   * Reports invalid keys and values. The key alone evacuates the zone, whatever
   * its value.
   */
  #checkRecord({ key, value }: KeyedRecord): void {
    const { onMalformed } = this.#options;
    if (this.#zoneOf(key) === "") {
      onMalformed(key, "The key names no zone; it has no effect");
    } else if (!isJsonObject(value!.toString("utf8"))) {
      onMalformed(
        key,
        "The value is not a JSON object; the zone is evacuated anyway",
      );
    }
  }
}

function isJsonObject(text: string): boolean {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === "object" && value !== null && !Array.isArray(value);
  } catch {
    return false;
  }
}
