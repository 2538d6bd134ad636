import type { KeyedAppend, KeyedRecord } from "celerytray";

/** Faults of a stand-in's store. */
export interface FakeStoreFaults {
  /** Calls are refused; nothing is done. */
  readonly isOut?: boolean;
  /** Appends are done, their answers lost. */
  readonly losesAnswers?: boolean;
}

/** What an append came to. */
export type FakeAppend =
  | { readonly kind: "appended"; readonly offset: number }
  | { readonly kind: "conflict"; readonly endOffset: number };

/** Topics of records with keys, in memory. */
export class FakeKeyedStore {
  faults: FakeStoreFaults = {};
  readonly #topics = new Map<string, FakeTopic>();

  /** Appends a record if the topic ends where the caller says. */
  append(
    topic: string,
    record: KeyedAppend,
  ): FakeAppend {
    const { records, waiters } = this.#topicOf(topic);
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
    for (const wake of waiters.splice(0)) wake();
    return { kind: "appended", offset };
  }

  /** Records from an offset on. */
  read(topic: string, fromOffset: number): readonly KeyedRecord[] {
    return this.#topicOf(topic).records.slice(fromOffset);
  }

  /** The newest record of each key that has a value. */
  readNewest(topic: string): readonly KeyedRecord[] {
    const newest = new Map<string, KeyedRecord>();
    for (const record of this.#topicOf(topic).records) {
      if (record.value === undefined) newest.delete(record.key);
      else newest.set(record.key, record);
    }
    return [...newest.values()];
  }

  /** Offset that the next record gets. */
  endOf(topic: string): number {
    return this.#topicOf(topic).records.length;
  }

  /** Calls once the topic grows; returns a function that stops waiting. */
  onAppend(topic: string, wake: () => void): () => void {
    const { waiters } = this.#topicOf(topic);
    waiters.push(wake);
    return () => {
      const index = waiters.indexOf(wake);
      if (index >= 0) waiters.splice(index, 1);
    };
  }

  #topicOf(name: string): FakeTopic {
    let topic = this.#topics.get(name);
    if (topic === undefined) {
      topic = { records: [], waiters: [] };
      this.#topics.set(name, topic);
    }
    return topic;
  }
}

interface FakeTopic {
  readonly records: KeyedRecord[];
  readonly waiters: (() => void)[];
}
