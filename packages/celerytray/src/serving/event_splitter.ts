const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /(?:^|\n)id: ?([0-9]+)\r?(?:\n|$)/;

/** One whole event of a stream. */
export interface StreamEvent {
  /** Its bytes, up to and with the empty line that ends it. */
  readonly bytes: Buffer;
  readonly id?: number;
}

/** Cuts a stream of bytes into whole events. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that has not ended. */
  get pendingBytes(): number {
    return this.#rest.length;
  }

  /** Takes bytes and returns the events that they complete. */
  push(chunk: Buffer): readonly StreamEvent[] {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
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
    this.#rest = bytes.subarray(start);
    return events;
  }
}

function createEvent(bytes: Buffer): StreamEvent {
  const id = ID_LINE.exec(bytes.toString("latin1"))?.[1];
  return id === undefined ? { bytes } : { bytes, id: Number(id) };
}
