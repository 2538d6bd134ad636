import type { Either } from "purify-ts";
import type { KeyedChange } from "../keyed_log/index.ts";
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
  #nextOffset = 0;

  constructor(options: ConfigViewOptions) {
    this.#options = options;
  }

  /** The configuration in force; undefined before there is one. */
  get index(): ServingIndex | undefined {
    return this.#index;
  }

  /** Offset up to which changes have been applied. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  apply(change: KeyedChange): void {
    for (const { key, value, offset } of change.records) {
      if (key !== this.#options.key || value === undefined) continue;
      this.#options.decode(value.toString("utf8")).caseOf({
        Left: (message) => this.#options.onMalformed(message, offset),
        Right: (config) => {
          const inForce = this.#index?.config.version ?? -1;
          if (config.version <= inForce) return;
          this.#index = new ServingIndex(config);
          this.#options.onAdopted(config.version, offset);
        },
      });
    }
    this.#nextOffset = Math.max(this.#nextOffset, change.nextOffset);
  }
}
