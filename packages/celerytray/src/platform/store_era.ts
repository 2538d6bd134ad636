import type { IncomingHttpHeaders } from "node:http";
import { MAX_ERA } from "../keyed_log/index.ts";
import { ERA_HEADER } from "./words.ts";

/** Options of tracking a store's era. */
export interface StoreEraOptions {
  /** Called when an answer shows a later era. */
  readonly onEraRaised?: (change: EraChange) => void;
  /**
   * Called for the 1st, 10th, 100th and so on of the answers whose era is
   * missing, malformed or an earlier one.
   */
  readonly onOddEra?: (odd: OddEra) => void;
}

/** A change of the era. */
export interface EraChange {
  readonly era: number;
  readonly earlierEra: number;
}

/** An era that can't be believed, and the number of those so far. */
export interface OddEra {
  readonly problem: string;
  readonly count: number;
}

/**
 * The era of a store according to its answers. A store that comes back from an
 * older copy names a later era; a store that names none is in era 0.
 */
export class StoreEra {
  readonly #options: StoreEraOptions;
  #current = 0;
  #oddCount = 0;

  constructor(options: StoreEraOptions) {
    this.#options = options;
  }

  /** The latest era that an answer has named. */
  get current(): number {
    return this.#current;
  }

  /**
   * Returns the era of an answer; undefined for an answer of an earlier era,
   * which has come late. An answer without a legible era counts as one of the
   * current era.
   */
  note(headers: IncomingHttpHeaders): number | undefined {
    const text = headers[ERA_HEADER];
    if (text === undefined && this.#current === 0) return 0;
    const era = parseEra(text);
    if (era === undefined) {
      this.#noteOdd(`no era in ${JSON.stringify(text ?? null)}`);
      return this.#current;
    }
    if (era < this.#current) {
      this.#noteOdd(`era ${era} after era ${this.#current}`);
      return undefined;
    }
    if (era > this.#current) {
      const earlierEra = this.#current;
      this.#current = era;
      this.#options.onEraRaised?.({ era, earlierEra });
    }
    return era;
  }

  #noteOdd(problem: string): void {
    this.#oddCount += 1;
    const count = this.#oddCount;
    if (Number.isInteger(Math.log10(count))) {
      this.#options.onOddEra?.({ problem, count });
    }
  }
}

function parseEra(text: string | readonly string[] | undefined) {
  if (typeof text !== "string" || !/^[0-9]{1,9}$/.test(text)) return undefined;
  const era = Number(text);
  return era <= MAX_ERA ? era : undefined;
}
