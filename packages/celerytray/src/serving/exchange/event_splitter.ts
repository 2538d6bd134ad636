const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /(?:^|\n)id: ?([0-9]+)\r?(?:\n|$)/;
const DATA_LINE = /(?:^|\n)data(?::|\r?\n)/;

/** One complete event of a stream. */
export interface StreamEvent {
  /** Its bytes, including the empty line that ends it. */
  readonly bytes: Buffer;
  /** Absent without a numeric id. */
  readonly id?: number;
  /** Whether it has data, unlike a comment. */
  readonly hasData: boolean;
}

/** Splits a byte stream into complete server-sent events. */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0);

  /** Bytes of the incomplete event. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Appends bytes and returns the events that they complete. */
  push(chunk: Buffer): readonly StreamEvent[] {
    const bytes = this.#pending.length === 0
      ? chunk
      : Buffer.concat([this.#pending, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    let lineStart = 0;
    for (let index = 0; index < bytes.length; index++) {
      if (bytes[index] !== LINE_FEED) continue;
      const isEmptyLine = index === lineStart ||
        (index === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
      if (isEmptyLine && index > start + 1) {
        events.push(createEvent(bytes.subarray(start, index + 1)));
        start = index + 1;
      }
      lineStart = index + 1;
    }
    this.#pending = bytes.subarray(start);
    return events;
  }
}

function createEvent(bytes: Buffer): StreamEvent {
  const text = bytes.toString("latin1");
  const id = ID_LINE.exec(text)?.[1];
  const hasData = DATA_LINE.test(text);
  return { bytes, hasData, ...(id === undefined ? {} : { id: Number(id) }) };
}
