import type { Either } from "purify-ts";
import {
  eraOf,
  type KeyedChange,
  type KeyedRecord,
  type LogPosition,
} from "../keyed_log/index.ts";
import { type ServingConfig, ServingIndex } from "../serving/index.ts";

/** Options of a configuration view. */
export interface ConfigViewOptions {
  readonly key: string;
  readonly decode: (text: string) => Either<string, ServingConfig>;
  readonly onAdopted: (version: number, offset: number) => void;
  readonly onMalformed: (message: string, offset: number) => void;
}

/**
 * Keeps the newest valid configuration. Ignores versions that are not higher
 * than that in force.
 */
export class ConfigView {
  readonly #options: ConfigViewOptions;
  #index: ServingIndex | undefined;
  #nextOffset: LogPosition = 0;
  /** Record of the configuration in force. */
  #record: KeyedRecord | undefined;

  constructor(options: ConfigViewOptions) {
    this.#options = options;
  }

  /** The configuration in force; undefined before there is one. */
  get index(): ServingIndex | undefined {
    return this.#index;
  }

  /** Version in force; -1 before there is one. */
  get version(): number {
    return this.#index?.config.version ?? -1;
  }

  /**
   * Record of the configuration in force, if it is of an earlier era, so that
   * the store may have come back from a copy that lacks it.
   */
  get earlierRecord(): KeyedRecord | undefined {
    const record = this.#record;
    return record !== undefined &&
        eraOf(record.offset) < eraOf(this.#nextOffset)
      ? record
      : undefined;
  }

  /** Position up to which changes have been applied. */
  get nextOffset(): LogPosition {
    return this.#nextOffset;
  }

  apply(change: KeyedChange): void {
    for (const record of change.records) this.offer(record);
    this.#nextOffset = Math.max(this.#nextOffset, change.nextOffset);
  }

  /** Puts a record's configuration in force if it has a higher version. */
  offer(record: KeyedRecord): void {
    const { key, value, offset } = record;
    if (key !== this.#options.key || value === undefined) return;
    this.#options.decode(value.toString("utf8")).caseOf({
      Left: (message) => this.#options.onMalformed(message, offset),
      Right: (config) => {
        if (config.version <= this.version) return;
        this.#index = new ServingIndex(config);
        this.#record = record;
        this.#options.onAdopted(config.version, offset);
      },
    });
  }
}
