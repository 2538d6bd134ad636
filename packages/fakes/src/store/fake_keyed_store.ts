import type { KeyedAppend, KeyedRecord } from "celerytray";

/** Faults of the fake store. */
export interface FakeStoreFaults {
  /** Calls are refused and have no effect. */
  readonly isOut?: boolean;
  /** Appends take effect, but their responses are lost. */
  readonly losesAnswers?: boolean;
}

/** The result of an append. */
export type FakeAppendResult =
  | { readonly kind: "appended"; readonly offset: number }
  | { readonly kind: "conflict"; readonly endOffset: number };

/** In-memory topics of keyed records. */
export class FakeKeyedStore {
  faults: FakeStoreFaults = {};
  /** Rises each time the store comes back from a copy. */
  era = 0;
  readonly #topics = new Map<string, FakeTopic>();

  /** Appends a record; returns a conflict if `at` is not the topic's end. */
  append(
    topic: string,
    record: KeyedAppend,
  ): FakeAppendResult {
    const { records, listeners } = this.#getOrCreateTopic(topic);
    const offset = records.length;
    if (record.at !== undefined && record.at !== offset) {
      return { kind: "conflict", endOffset: offset };
    }
    const { key, value } = record;
    records.push(
      value === undefined ? { key, offset } : {
        key,
        value,
        offset,
      },
    );
    for (const listener of listeners.splice(0)) listener();
    return { kind: "appended", offset };
  }

  /** Returns the records from an offset on. */
  read(topic: string, fromOffset: number): readonly KeyedRecord[] {
    return this.#getOrCreateTopic(topic).records.slice(fromOffset);
  }

  /** Returns the latest record of each key whose latest record has a value. */
  readNewest(topic: string): readonly KeyedRecord[] {
    const newest = new Map<string, KeyedRecord>();
    for (const record of this.#getOrCreateTopic(topic).records) {
      if (record.value === undefined) newest.delete(record.key);
      else newest.set(record.key, record);
    }
    return [...newest.values()];
  }

  /** Returns the offset of the next record to be appended. */
  endOffset(topic: string): number {
    return this.#getOrCreateTopic(topic).records.length;
  }

  /**
   * Calls the listener once, at the topic's next append; returns a function that
   * removes it.
   */
  onAppend(topic: string, listener: () => void): () => void {
    const { listeners } = this.#getOrCreateTopic(topic);
    listeners.push(listener);
    return () => {
      const index = listeners.indexOf(listener);
      if (index >= 0) listeners.splice(index, 1);
    };
  }

  /** Returns a copy of all topics as they are now. */
  copy(): FakeStoreCopy {
    return new Map(
      [...this.#topics].map(([name, { records }]) => [name, [...records]]),
    );
  }

  /**
   * Comes back from a copy in a new era; what was appended since is gone. Reads
   * that wait for a record are answered.
   */
  returnFrom(copy: FakeStoreCopy): void {
    this.era += 1;
    for (const [name, { records, listeners }] of this.#topics) {
      records.splice(0, records.length, ...copy.get(name) ?? []);
      for (const listener of listeners.splice(0)) listener();
    }
  }

  #getOrCreateTopic(name: string): FakeTopic {
    let topic = this.#topics.get(name);
    if (topic === undefined) {
      topic = { records: [], listeners: [] };
      this.#topics.set(name, topic);
    }
    return topic;
  }
}

/** The records of each topic at one time. */
export type FakeStoreCopy = ReadonlyMap<string, readonly KeyedRecord[]>;

interface FakeTopic {
  readonly records: KeyedRecord[];
  readonly listeners: (() => void)[];
}
