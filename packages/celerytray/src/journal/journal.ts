import type { LogEvents } from "@celerytray/schema";
import { destination, type DestinationStream, type Logger, pino } from "pino";
import { LineBudget, type LineRank } from "./line_budget.ts";

/** Names of the events that lines tell of. */
export type EventName = keyof LogEvents;

/** Fields of an event's line. */
export type EventFields<Name extends EventName> = ReadonlyFields<
  Required<LogEvents>[Name]
>;

/** Writes an event. */
export type RecordEvent = <Name extends EventName>(
  event: Name,
  fields: EventFields<Name>,
) => void;

type ReadonlyFields<Fields> = {
  readonly [Name in keyof Fields]: Fields[Name] extends readonly (infer Item)[]
    ? readonly Item[]
    : Fields[Name];
};

/** Options of a process's structured log. */
export interface JournalOptions {
  readonly process: string;
  readonly nowMs: () => number;
  /** Where lines go; standard output without one. */
  readonly output?: DestinationStream;
}

/** Bytes that may wait for a reader of standard output; more are dropped. */
const MAX_WAITING_BYTES = 1024 * 1024;

/**
 * Writes one JSON line for each event, within a budget of lines a second, and
 * never waits for the reader.
 */
export class Journal {
  readonly #logger: Logger;
  readonly #budget = new LineBudget();
  readonly #nowMs: () => number;

  constructor(options: JournalOptions) {
    this.#nowMs = options.nowMs;
    this.#logger = pino(
      {
        base: { process: options.process },
        timestamp: () => `,"timeMs":${options.nowMs()}`,
        formatters: { level: (level) => ({ level }) },
        messageKey: "event",
      },
      options.output ??
        destination({ fd: 1, sync: false, maxLength: MAX_WAITING_BYTES }),
    );
  }

  /** Writes an event, if the budget of its rank allows. */
  record<Name extends EventName>(
    event: Name,
    fields: EventFields<Name>,
    rank: LineRank = "notable",
  ): void {
    if (!this.#budget.tryTake(rank, this.#nowMs())) return;
    const omitted = this.#budget.takeOmitted();
    if (omitted > 0) this.#logger.info({ lines: omitted }, "log.omitted");
    this.#logger.info(fields as object, event);
  }
}
