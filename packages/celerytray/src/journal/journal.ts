import type { LogEvents } from "@celerytray/schema";
import { destination, type DestinationStream, type Logger, pino } from "pino";
import { LineRateLimiter, type LineSeverity } from "./line_rate_limiter.ts";

/** Names of the events in the structured log. */
export type EventName = keyof LogEvents;

/** Fields of an event. */
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
  /** Destination of the lines; standard output if omitted. */
  readonly output?: DestinationStream;
}

/** Bytes buffered for a slow reader of standard output; more are dropped. */
const MAX_WAITING_BYTES = 1024 * 1024;

/**
 * Writes one JSON line per event, up to a number of lines per second, and never
 * blocks on the reader of the output.
 */
export class Journal {
  readonly #logger: Logger;
  readonly #rateLimiter = new LineRateLimiter();
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

  /**
   * Writes an event unless the rate limit of its severity is reached; the next
   * line that is written reports how many were omitted.
   */
  record<Name extends EventName>(
    event: Name,
    fields: EventFields<Name>,
    severity: LineSeverity = "notable",
  ): void {
    if (!this.#rateLimiter.tryAcquire(severity, this.#nowMs())) return;
    const omitted = this.#rateLimiter.takeOmitted();
    if (omitted > 0) this.#logger.info({ lines: omitted }, "log.omitted");
    this.#logger.info(fields as object, event);
  }
}
