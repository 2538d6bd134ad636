import type { IncomingMessage, ServerResponse } from "node:http";
import type { AnswerHead, CallCodec } from "./call.ts";

/** Why a request is answered by this system itself. */
export interface OwnAnswer {
  readonly status: number;
  readonly message: string;
  /** Time after which the caller may come back. */
  readonly retryAfterMs?: number;
}

/** One caller's request and the answer to it. */
export class CallerExchange {
  readonly request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #codec: CallCodec;
  /** Whether connections end with the next answer. */
  readonly #isClosing: () => boolean;

  constructor(options: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly codec: CallCodec;
    readonly isClosing: () => boolean;
  }) {
    this.request = options.request;
    this.#response = options.response;
    this.#codec = options.codec;
    this.#isClosing = options.isClosing;
  }

  /** Whether the head of an answer was sent. */
  get hasStarted(): boolean {
    return this.#response.headersSent;
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
  answer(head: AnswerHead, body: Buffer): void {
    this.#response.writeHead(head.status, [
      ...head.passedHeaders,
      "Content-Length",
      String(body.length),
      ...this.#connectionHeaders(),
    ]);
    this.#response.end(body);
  }

  /** Answers in this system's own name. */
  answerItself(callId: string | undefined, own: OwnAnswer): void {
    const body = `${own.message}\n`;
    this.#response.writeHead(own.status, [
      ...this.#codec.encodeOwnHead(callId),
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
  startStream(head: AnswerHead): void {
    this.#response.writeHead(head.status, [
      ...head.passedHeaders,
      ...this.#connectionHeaders(),
    ]);
    this.#response.flushHeaders();
  }

  writeEvent(bytes: Buffer): void {
    this.#response.write(bytes);
  }

  endStream(): void {
    this.#response.end();
  }

  /** Breaks the answer off, so that it can't seem whole. */
  breakOff(): void {
    this.#response.destroy();
  }

  #connectionHeaders(): readonly string[] {
    return this.#isClosing() ? ["Connection", "close"] : [];
  }
}
