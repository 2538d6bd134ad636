import { ByteCollector } from "../../http/index.ts";

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
  readonly #pending = new ByteCollector();
  /** Bytes of the line that is not complete. */
  #lineBytes = 0;
  /** Whether the first of them is a carriage return. */
  #startsWithReturn = false;

  /** Bytes of the incomplete event. */
  get pendingBytes(): number {
    return this.#pending.bytes;
  }

  /** Appends bytes and returns the events that they complete. */
  push(chunk: Buffer): readonly StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    for (let index = 0; index < chunk.length; index++) {
      if (chunk[index] !== LINE_FEED) {
        if (this.#lineBytes === 0) {
          this.#startsWithReturn = chunk[index] === CARRIAGE_RETURN;
        }
        this.#lineBytes += 1;
        continue;
      }
      const isEmptyLine = this.#lineBytes === 0 ||
        (this.#lineBytes === 1 && this.#startsWithReturn);
      const precedingBytes = this.#pending.bytes + index - start;
      if (isEmptyLine && precedingBytes > 1) {
        events.push(createEvent(this.#end(chunk.subarray(start, index + 1))));
        start = index + 1;
      }
      this.#lineBytes = 0;
    }
    if (start < chunk.length) this.#pending.add(chunk.subarray(start));
    return events;
  }

  /** Returns the pending bytes and those that complete the event. */
  #end(bytes: Buffer): Buffer {
    if (this.#pending.bytes === 0) return bytes;
    this.#pending.add(bytes);
    return this.#pending.take();
  }
}

function createEvent(bytes: Buffer): StreamEvent {
  const text = bytes.toString("latin1");
  const id = ID_LINE.exec(text)?.[1];
  const hasData = DATA_LINE.test(text);
  return { bytes, hasData, ...(id === undefined ? {} : { id: Number(id) }) };
}
