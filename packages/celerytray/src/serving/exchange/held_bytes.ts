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
  readonly onCut: (cut: CutResponse) => void;
}

/** Counts and bounds the responses and request bodies that a process buffers. */
export class HeldBytes {
  readonly #options: HeldBytesOptions;
  readonly #responses = new Map<HeldResponse, number>();
  #responseBytes = 0;
  #bodyBytes = 0;

  constructor(options: HeldBytesOptions) {
    this.#options = options;
  }

  get totalBytes(): number {
    return this.#responseBytes + this.#bodyBytes;
  }

  /** Updates a response's size; aborts the largest responses above the bound. */
  update(response: HeldResponse): void {
    this.#measure(response);
    if (this.#isOver()) this.#cutLargest();
  }

  /** Stops counting a response. */
  forget(response: HeldResponse): void {
    this.#responseBytes -= this.#responses.get(response) ?? 0;
    this.#responses.delete(response);
  }

  /** Whether a request body of this size fits within the bound now. */
  hasRoom(bytes: number): boolean {
    if (this.totalBytes + bytes <= this.#options.maxBytes) return true;
    this.#measureAll();
    return this.totalBytes + bytes <= this.#options.maxBytes;
  }

  /** Creates the account of a request body. */
  holdBody(): HeldBody {
    return new HeldBody((bytes) => {
      if (bytes > 0 && !this.hasRoom(bytes)) return false;
      this.#bodyBytes += bytes;
      return true;
    });
  }

  #isOver(): boolean {
    return this.totalBytes > this.#options.maxBytes;
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
    this.#measureAll();
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

/** The buffered bytes of one request body. */
export class HeldBody {
  readonly #tryChange: (bytes: number) => boolean;
  #bytes = 0;

  constructor(tryChange: (bytes: number) => boolean) {
    this.#tryChange = tryChange;
  }

  /** Adds bytes; returns false if they don't fit within the bound. */
  tryAdd(bytes: number): boolean {
    if (!this.#tryChange(bytes)) return false;
    this.#bytes += bytes;
    return true;
  }

  release(): void {
    this.#tryChange(-this.#bytes);
    this.#bytes = 0;
  }
}
