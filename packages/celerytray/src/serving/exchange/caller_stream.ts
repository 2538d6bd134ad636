import type { ResponseHeaders } from "../call.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { StreamEvent } from "./event_splitter.ts";
import { PassedEvents } from "./passed_events.ts";

/** What became of an event that an attempt brought. */
export type WriteResult =
  | "written"
  /** It was written, and its caller does not keep up. */
  | "written-ahead"
  /** It does not follow the last event that the caller has. */
  | "out-of-order"
  /** The attempt has ended, so the event was discarded. */
  | "closed";

/** The caller's side of a stream. */
export type StreamSink = Pick<
  CallerExchange,
  "hasStarted" | "startStream" | "writeEvent"
>;

/**
 * The event stream to one caller. It knows what the caller has, and only the
 * writer that was opened last may add to it.
 */
export class CallerStream {
  readonly #sink: StreamSink;
  #lastEventId: number | undefined;
  #isResumable = true;
  #writer: StreamWriter | undefined;

  constructor(options: {
    readonly sink: StreamSink;
    /** Id of the event after which the caller asks to resume. */
    readonly lastEventId: number | undefined;
  }) {
    this.#sink = options.sink;
    this.#lastEventId = options.lastEventId;
  }

  /** Id of the last event that the caller has; undefined if it has none. */
  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  /**
   * Whether another attempt can continue behind what the caller has, which no
   * id names if data without one came last.
   */
  get isResumable(): boolean {
    return this.#isResumable;
  }

  /** Starts an attempt's turn to write, and ends that of the one before. */
  open(): StreamWriter {
    this.#writer?.close();
    this.#writer = new StreamWriter({
      start: (headers) => this.#start(headers),
      write: (event) => this.#write(event),
    });
    return this.#writer;
  }

  /** Describes the events of the last writer for logs. */
  describeLastTurn(): string {
    return this.#writer?.describe() ?? "";
  }

  #start(headers: ResponseHeaders): void {
    if (!this.#sink.hasStarted) this.#sink.startStream(headers);
  }

  #write({ id, bytes, hasData }: StreamEvent): Exclude<WriteResult, "closed"> {
    const lastId = this.#lastEventId;
    if (id === undefined) {
      if (hasData) this.#isResumable = false;
    } else {
      if (lastId !== undefined && id !== lastId + 1) return "out-of-order";
      this.#lastEventId = id;
      this.#isResumable = true;
    }
    return this.#sink.writeEvent(bytes) ? "written" : "written-ahead";
  }
}

interface StreamOperations {
  readonly start: (headers: ResponseHeaders) => void;
  readonly write: (event: StreamEvent) => Exclude<WriteResult, "closed">;
}

/** One attempt's turn to write to a caller's stream. */
export class StreamWriter {
  readonly #stream: StreamOperations;
  readonly #passed = new PassedEvents();
  #isClosed = false;

  constructor(stream: StreamOperations) {
    this.#stream = stream;
  }

  /** Sends the headers of the stream unless an earlier attempt has. */
  start(headers: ResponseHeaders): void {
    if (!this.#isClosed) this.#stream.start(headers);
  }

  write(event: StreamEvent): WriteResult {
    if (this.#isClosed) return "closed";
    const result = this.#stream.write(event);
    if (result !== "out-of-order") this.#passed.note(event);
    return result;
  }

  /** Ends the turn, for good. */
  close(): void {
    this.#isClosed = true;
  }

  /** Describes the events that were written. */
  describe(): string {
    return this.#passed.describe();
  }
}
