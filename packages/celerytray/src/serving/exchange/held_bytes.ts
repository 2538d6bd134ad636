import type { BodyMemory } from "../../http/index.ts";

/** A response that is buffered until its caller reads it or it is complete. */
export interface HeldResponse {
  readonly callId: string;
  /** Bytes buffered now; may be fewer than at the last update. */
  readonly heldBytes: number;
  /** Aborts the response, which frees its buffer. */
  cut(): void;
}

/** A response that was aborted to free memory. */
export interface CutResponse {
  readonly callId: string;
  readonly heldBytes: number;
  readonly totalBytes: number;
}

/** Options of the bound on buffered bytes. */
export interface HeldBytesOptions {
  /** Bound on all responses and request bodies together. */
  readonly maxBytes: number;
  readonly nowMs: () => number;
  readonly onCut: (cut: CutResponse) => void;
}

/** A request body that is not complete. */
interface ReadingBody {
  readonly sinceMs: number;
  /** Ends the reading; its request is refused. */
  readonly giveUp: () => void;
}

/**
 * Time for which a body may be read before it is given up for another one. What
 * a response that is sent needs is taken from any that is not complete.
 */
const MIN_READING_MS = 1_000;

/** Counts and bounds the responses and request bodies that a process buffers. */
export class HeldBytes {
  readonly #options: HeldBytesOptions;
  readonly #responses = new Map<HeldResponse, number>();
  /** Bodies that are not complete, the oldest first. */
  readonly #reading = new Map<HeldBody, ReadingBody>();
  #responseBytes = 0;
  #bodyBytes = 0;

  constructor(options: HeldBytesOptions) {
    this.#options = options;
  }

  get totalBytes(): number {
    return this.#responseBytes + this.#bodyBytes;
  }

  /**
   * Updates a response's size. Above the bound it gives up bodies that are not
   * complete, then aborts the largest responses.
   */
  update(response: HeldResponse): void {
    this.#measure(response);
    if (!this.#isOver()) return;
    this.#measureAll();
    this.#giveUpBodies({ neededBytes: 0, minReadingMs: 0 });
    if (this.#isOver()) this.#cutLargest();
  }

  /** Stops counting a response. */
  forget(response: HeldResponse): void {
    this.#responseBytes -= this.#responses.get(response) ?? 0;
    this.#responses.delete(response);
  }

  /**
   * Whether a request body of this size fits within the bound, if need be in the
   * place of those that never end.
   */
  makeRoom(bytes: number, needyBody?: HeldBody): boolean {
    if (this.#hasRoom(bytes)) return true;
    this.#measureAll();
    this.#giveUpBodies({
      neededBytes: bytes,
      needyBody,
      minReadingMs: MIN_READING_MS,
    });
    return this.#hasRoom(bytes);
  }

  /** Creates the account of a request body. */
  holdBody(): HeldBody {
    const body: HeldBody = new HeldBody({
      tryChange: (bytes) => {
        if (bytes > 0 && !this.makeRoom(bytes, body)) return false;
        this.#bodyBytes += bytes;
        return true;
      },
      onReading: (giveUp) => {
        const sinceMs = this.#options.nowMs();
        this.#reading.set(body, { sinceMs, giveUp });
      },
      onRead: () => this.#reading.delete(body),
    });
    return body;
  }

  /** Gives up the bodies that have been read for longest, until there is room. */
  #giveUpBodies(
    { neededBytes, needyBody, minReadingMs }: {
      readonly neededBytes: number;
      readonly needyBody?: HeldBody | undefined;
      readonly minReadingMs: number;
    },
  ): void {
    const nowMs = this.#options.nowMs();
    for (const [body, { sinceMs, giveUp }] of this.#reading) {
      const isOldEnough = nowMs - sinceMs >= minReadingMs;
      if (this.#hasRoom(neededBytes) || !isOldEnough) return;
      if (body.bytes === 0 || body === needyBody) continue;
      this.#reading.delete(body);
      giveUp();
      body.release();
    }
  }

  #hasRoom(bytes: number): boolean {
    return this.totalBytes + bytes <= this.#options.maxBytes;
  }

  #isOver(): boolean {
    return !this.#hasRoom(0);
  }

  #measure(response: HeldResponse): void {
    const { heldBytes } = response;
    this.#responseBytes += heldBytes - (this.#responses.get(response) ?? 0);
    this.#responses.set(response, heldBytes);
  }

  #measureAll(): void {
    for (const response of this.#responses.keys()) this.#measure(response);
  }

  #cutLargest(): void {
    while (this.#isOver()) {
      const largest = this.#findLargest();
      if (largest === undefined) return;
      const { callId, heldBytes } = largest;
      this.#options.onCut({ callId, heldBytes, totalBytes: this.totalBytes });
      this.forget(largest);
      largest.cut();
    }
  }

  /** Returns undefined if no response buffers anything. */
  #findLargest(): HeldResponse | undefined {
    let largest: HeldResponse | undefined;
    let mostBytes = 0;
    for (const [response, bytes] of this.#responses) {
      if (bytes <= mostBytes) continue;
      largest = response;
      mostBytes = bytes;
    }
    return largest;
  }
}

interface HeldBodyOptions {
  readonly tryChange: (bytes: number) => boolean;
  readonly onReading: (giveUp: () => void) => void;
  readonly onRead: () => void;
}

/** The buffered bytes of one request body. */
export class HeldBody implements BodyMemory {
  readonly #options: HeldBodyOptions;
  #bytes = 0;

  constructor(options: HeldBodyOptions) {
    this.#options = options;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Adds bytes; returns false if they don't fit within the bound. */
  tryAdd(bytes: number): boolean {
    if (!this.#options.tryChange(bytes)) return false;
    this.#bytes += bytes;
    return true;
  }

  /** Notes that it is read until `endReading`; it may be given up meanwhile. */
  beginReading(giveUp: () => void): void {
    this.#options.onReading(giveUp);
  }

  endReading(): void {
    this.#options.onRead();
  }

  release(): void {
    this.#options.tryChange(-this.#bytes);
    this.#bytes = 0;
  }
}
