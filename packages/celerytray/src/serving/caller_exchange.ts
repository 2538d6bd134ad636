import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallCodec, ResponseHeaders } from "./call.ts";
import type { AnswerHolder, HeldBytes } from "./held_bytes.ts";

/** Why a request is answered by this system itself. */
export interface LocalResponse {
  readonly status: number;
  readonly message: string;
  /** Time after which the caller may come back. */
  readonly retryAfterMs?: number;
}

/** Bytes of a stream that its caller may leave unread before it is paused. */
const MAX_UNREAD_BYTES = 64 * 1024;
/**
 * Longest pause of a stream. An instance cuts off streams that are not read
 * for 2 s, so that the rest is read before.
 */
const MAX_PAUSE_MS = 1_500;

/** What a stream that is paused may hold besides: one read of its connection. */
const PAUSED_READ_BYTES = 64 * 1024;

/** One caller's request and the answer to it. */
export class CallerExchange implements AnswerHolder {
  readonly request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #codec: CallCodec;
  /** Whether connections end with the next answer. */
  readonly #isClosing: () => boolean;
  readonly #held: HeldBytes;
  /** Whether the stream is read on however slow its caller is. */
  #isReadOn = false;
  #isPaused = false;

  constructor(options: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly codec: CallCodec;
    readonly isClosing: () => boolean;
    readonly held: HeldBytes;
  }) {
    this.request = options.request;
    this.#response = options.response;
    this.#codec = options.codec;
    this.#isClosing = options.isClosing;
    this.#held = options.held;
    this.#response.on("drain", () => this.#noteHeld());
    this.#response.on("close", () => this.#held.forget(this));
  }

  /** Whether the head of an answer was sent. */
  get hasStarted(): boolean {
    return this.#response.headersSent;
  }

  get callId(): string {
    return this.#codec.decodeCall(this.request)
      .map(({ id }) => id).orDefault("");
  }

  /** Bytes of the answer that wait for the caller. */
  get heldBytes(): number {
    if (this.#response.destroyed) return 0;
    return this.#response.writableLength +
      (this.#isPaused ? PAUSED_READ_BYTES : 0);
  }

  /** Whether the whole answer was handed over. */
  get hasEnded(): boolean {
    return this.#response.writableEnded;
  }

  /** Whether the caller still waits, as far as its connection was read. */
  get hasCaller(): boolean {
    const { socket } = this.request;
    return !this.#response.destroyed && !socket.destroyed &&
      !socket.readableEnded;
  }

  /** Answers with an instance's whole answer. */
  answer(head: ResponseHeaders, body: Buffer): void {
    this.#response.writeHead(head.status, [
      ...head.forwardedHeaders,
      "Content-Length",
      String(body.length),
      ...this.#connectionHeaders(),
    ]);
    this.#response.end(body);
    this.#noteHeld();
  }

  /** Answers in this system's own name. */
  sendLocalResponse(callId: string | undefined, own: LocalResponse): void {
    const body = `${own.message}\n`;
    this.#response.writeHead(own.status, [
      ...this.#codec.encodeLocalHeaders(callId),
      "Content-Type",
      "text/plain; charset=utf-8",
      "Content-Length",
      String(Buffer.byteLength(body)),
      ...(own.retryAfterMs === undefined
        ? []
        : ["Retry-After", (own.retryAfterMs / 1000).toFixed(2)]),
      ...this.#connectionHeaders(),
    ]);
    this.#response.end(body);
  }

  /** Begins a stream of events. */
  startStream(head: ResponseHeaders): void {
    this.#response.writeHead(head.status, [
      ...head.forwardedHeaders,
      ...this.#connectionHeaders(),
    ]);
    this.#response.flushHeaders();
  }

  /** Sends an event; whether the caller reads on fast enough for more. */
  writeEvent(bytes: Buffer): boolean {
    this.#response.write(bytes);
    this.#noteHeld();
    return this.#isReadOn ||
      this.#response.writableLength <= MAX_UNREAD_BYTES;
  }

  /** Calls once more of the stream is to be read. */
  awaitCaller(onReady: () => void): void {
    const response = this.#response;
    const settle = () => {
      clearTimeout(timer);
      response.off("drain", settle);
      response.off("close", settle);
      this.#isPaused = false;
      onReady();
    };
    const timer = setTimeout(() => {
      this.#isReadOn = true;
      settle();
    }, MAX_PAUSE_MS);
    response.on("drain", settle);
    response.on("close", settle);
    this.#isPaused = true;
    this.#noteHeld();
  }

  endStream(): void {
    this.#response.end();
  }

  /** Breaks the answer off, so that it can't seem whole. */
  abort(): void {
    this.#response.destroy();
  }

  cut(): void {
    this.abort();
  }

  #noteHeld(): void {
    if (!this.#response.destroyed) this.#held.note(this);
  }

  #connectionHeaders(): readonly string[] {
    return this.#isClosing() ? ["Connection", "close"] : [];
  }
}
