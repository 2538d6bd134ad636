/** An answer that waits for its caller or its end. */
export interface AnswerHolder {
  readonly callId: string;
  /** Bytes that it holds now; they may be fewer than were noted. */
  readonly heldBytes: number;
  /** Ends it, so that it holds nothing any more. */
  cut(): void;
}

/** An answer that was cut off to make room. */
export interface CutAnswer {
  readonly callId: string;
  readonly heldBytes: number;
  readonly totalBytes: number;
}

/** Bounds on the bytes that a process holds for callers. */
export interface HeldBytesOptions {
  /** Bound on all answers and request bodies together. */
  readonly maxBytes: number;
  readonly onCut: (cut: CutAnswer) => void;
}

/** Bytes of answers and request bodies that a process holds for callers. */
export class HeldBytes {
  readonly #options: HeldBytesOptions;
  readonly #answers = new Map<AnswerHolder, number>();
  #answerBytes = 0;
  #bodyBytes = 0;

  constructor(options: HeldBytesOptions) {
    this.#options = options;
  }

  get totalBytes(): number {
    return this.#answerBytes + this.#bodyBytes;
  }

  /** Takes note of what an answer holds; cuts off the largest over the bound. */
  note(holder: AnswerHolder): void {
    this.#measure(holder);
    if (this.#isOver()) this.#makeRoom();
  }

  /** Takes note that an answer holds nothing any more. */
  forget(holder: AnswerHolder): void {
    this.#answerBytes -= this.#answers.get(holder) ?? 0;
    this.#answers.delete(holder);
  }

  /** Whether a request body of a length fits now. */
  hasRoom(bytes: number): boolean {
    if (this.totalBytes + bytes <= this.#options.maxBytes) return true;
    this.#measureAll();
    return this.totalBytes + bytes <= this.#options.maxBytes;
  }

  /** Begins to hold a request body. */
  openBody(): HeldBody {
    return new HeldBody((bytes) => {
      if (bytes > 0 && !this.hasRoom(bytes)) return false;
      this.#bodyBytes += bytes;
      return true;
    });
  }

  #isOver(): boolean {
    return this.totalBytes > this.#options.maxBytes;
  }

  #measure(holder: AnswerHolder): void {
    const { heldBytes } = holder;
    this.#answerBytes += heldBytes - (this.#answers.get(holder) ?? 0);
    this.#answers.set(holder, heldBytes);
  }

  #measureAll(): void {
    for (const holder of this.#answers.keys()) this.#measure(holder);
  }

  #makeRoom(): void {
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

  /** Undefined where no answer holds anything. */
  #findLargest(): AnswerHolder | undefined {
    let largest: AnswerHolder | undefined;
    let mostBytes = 0;
    for (const [holder, bytes] of this.#answers) {
      if (bytes <= mostBytes) continue;
      largest = holder;
      mostBytes = bytes;
    }
    return largest;
  }
}

/** The bytes of one request body. */
export class HeldBody {
  readonly #tryChange: (bytes: number) => boolean;
  #bytes = 0;

  constructor(tryChange: (bytes: number) => boolean) {
    this.#tryChange = tryChange;
  }

  /** Holds more bytes, if they fit. */
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
