import type { KeyedRecord } from "../keyed_log/index.ts";

/**
 * What the instance list of a store that came back from an older copy says, but
 * may say only because the copy is older than what is known.
 */
export class DoubtedRecords {
  /** Listed instances that a full read lacks. */
  readonly #missingIds = new Set<string>();
  /** Entries and deletions, by instance. */
  readonly #withheld = new Map<string, KeyedRecord>();

  /** Number of listed instances that a full read lacks. */
  get missingCount(): number {
    return this.#missingIds.size;
  }

  /** Number of entries and deletions. */
  get withheldCount(): number {
    return this.#withheld.size;
  }

  noteMissing(id: string): void {
    this.#missingIds.add(id);
  }

  withhold(record: KeyedRecord): void {
    this.#withheld.set(record.key, record);
  }

  /** Forgets an instance, of which there is a later record. */
  forget(id: string): void {
    this.#missingIds.delete(id);
    this.#withheld.delete(id);
  }

  /** Forgets the entries and deletions of instances that a full read lacks. */
  keepOnly(listedIds: ReadonlySet<string>): void {
    for (const id of [...this.#withheld.keys()]) {
      if (!listedIds.has(id)) this.#withheld.delete(id);
    }
  }

  clear(): void {
    this.#missingIds.clear();
    this.#withheld.clear();
  }

  takeMissing(): readonly string[] {
    const ids = [...this.#missingIds];
    this.#missingIds.clear();
    return ids;
  }

  /** Takes the entries and deletions that a condition holds for. */
  takeWithheld(
    isTaken: (record: KeyedRecord) => boolean,
  ): readonly KeyedRecord[] {
    const taken = [...this.#withheld.values()].filter(isTaken);
    for (const { key } of taken) this.#withheld.delete(key);
    return taken;
  }
}
