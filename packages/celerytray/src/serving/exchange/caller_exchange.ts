import type { Effect } from "effect";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type ConnectionEnd,
  findConnectionEnd,
  noteConnectionEnd,
} from "../../http/index.ts";
import type { CallCodec, ResponseHeaders } from "../call.ts";
import type { CloseCause } from "../end_cause.ts";
import type { RelayedCall } from "../relay/index.ts";
import type { HeldBytes, HeldResponse } from "./held_bytes.ts";

/** A response that this system generates itself. */
export interface LocalResponse {
  readonly status: number;
  readonly message: string;
  /** Time after which the caller may retry. */
  readonly retryAfterMs?: number;
  /** Whether the connection is closed, so that the caller uses another machine. */
  readonly closesConnection?: boolean;
}

/** Unsent bytes of a stream above which reading from its instance is paused. */
const MAX_BUFFERED_BYTES = 64 * 1024;
/**
 * Longest pause of a stream. Instances close streams that are not read for 2 s,
 * so reading resumes before that.
 */
const MAX_PAUSE_MS = 1_500;

const CONNECTION_END_MESSAGES: Readonly<Record<ConnectionEnd, string>> = {
  "memory": "The bytes held for callers reached their bound",
  "foreign-bytes": "Too many bytes followed the request that are part of none",
  "too-many-waiting": "Too many requests waited behind one another",
  "slow-body": "The body came in the most chunks of all",
  "too-many-connections": "Another connection needed the room",
};

/** Bytes that a paused stream may buffer besides: one read of its connection. */
const PAUSED_READ_BYTES = 64 * 1024;

/** One caller's request and the response to it. */
export class CallerExchange implements HeldResponse {
  readonly request: IncomingMessage;
  /** Time at which the request's headers had arrived. */
  readonly arrivedAtMs: number;
  /** Completes when all earlier requests of its connection are answered. */
  readonly turn: Effect.Effect<void>;
  /** Set if another process sent the request here. */
  readonly relay: RelayedCall | undefined;
  readonly #response: ServerResponse;
  readonly #codec: CallCodec;
  /** Whether connections are closed after the next response. */
  readonly #isClosing: () => boolean;
  readonly #held: HeldBytes;
  /** Whether the stream is no longer paused, however slow its caller is. */
  #ignoresBackpressure = false;
  #isPaused = false;

  constructor(options: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly codec: CallCodec;
    readonly arrivedAtMs: number;
    readonly turn: Effect.Effect<void>;
    readonly isClosing: () => boolean;
    readonly held: HeldBytes;
    readonly relay?: RelayedCall;
  }) {
    this.request = options.request;
    this.arrivedAtMs = options.arrivedAtMs;
    this.turn = options.turn;
    this.relay = options.relay;
    this.#response = options.response;
    this.#codec = options.codec;
    this.#isClosing = options.isClosing;
    this.#held = options.held;
    this.#response.on("drain", () => this.#updateHeld());
    this.#response.on("close", () => this.#held.forget(this));
  }

  /** Whether response headers were sent. */
  get hasStarted(): boolean {
    return this.#response.headersSent;
  }

  get callId(): string {
    return this.#codec.decodeCall(this.request)
      .map(({ id }) => id).orDefault("");
  }

  /** Bytes of the response that are buffered for the caller. */
  get heldBytes(): number {
    if (this.#response.destroyed) return 0;
    return this.#response.writableLength +
      (this.#isPaused ? PAUSED_READ_BYTES : 0);
  }

  /** Whether the complete response was written. */
  get hasEnded(): boolean {
    return this.#response.writableEnded;
  }

  /** Whether the caller is connected, as far as its socket has been read. */
  get isCallerConnected(): boolean {
    const { socket } = this.request;
    return !this.#response.destroyed && !socket.destroyed &&
      !socket.readableEnded;
  }

  /** Who closed the connection, and why, for logs. */
  describeClose(): { readonly cause: CloseCause; readonly reason: string } {
    const { socket } = this.request;
    const { errored, readableEnded } = socket;
    const end = findConnectionEnd(socket);
    if (end !== undefined) {
      return { cause: end, reason: CONNECTION_END_MESSAGES[end] };
    }
    if (errored) {
      const reason = `The connection failed: ${errored.message}`;
      return { cause: "connection-failed", reason };
    }
    return readableEnded
      ? { cause: "caller-left", reason: "The caller closed the connection" }
      : {
        cause: "closed-by-process",
        reason: "This process closed the connection",
      };
  }

  /** Sends an instance's complete response. */
  sendResponse(headers: ResponseHeaders, body: Buffer): void {
    this.#response.writeHead(headers.status, [
      ...headers.forwardedHeaders,
      "Content-Length",
      String(body.length),
      ...this.#connectionHeaders(),
    ]);
    this.#response.end(body);
    this.#updateHeld();
  }

  /** Sends a response that this system generates itself. */
  sendLocalResponse(
    callId: string | undefined,
    localResponse: LocalResponse,
  ): void {
    const body = `${localResponse.message}\n`;
    this.#response.writeHead(localResponse.status, [
      ...this.#codec.encodeLocalHeaders(callId, {
        isRelayed: this.relay !== undefined,
      }),
      "Content-Type",
      "text/plain; charset=utf-8",
      "Content-Length",
      String(Buffer.byteLength(body)),
      ...(localResponse.retryAfterMs === undefined
        ? []
        : ["Retry-After", (localResponse.retryAfterMs / 1000).toFixed(2)]),
      ...this.#connectionHeaders(localResponse.closesConnection),
    ]);
    this.#response.end(body);
  }

  /** Starts an event stream by sending its headers. */
  startStream(headers: ResponseHeaders): void {
    this.#response.writeHead(headers.status, [
      ...headers.forwardedHeaders,
      ...this.#connectionHeaders(),
    ]);
    this.#response.flushHeaders();
  }

  /** Sends an event; returns false if the stream should be paused. */
  writeEvent(bytes: Buffer): boolean {
    this.#response.write(bytes);
    this.#updateHeld();
    return this.#ignoresBackpressure ||
      this.#response.writableLength <= MAX_BUFFERED_BYTES;
  }

  /** Calls `onReady` when the paused stream should be read again. */
  awaitDrain(onReady: () => void): void {
    const response = this.#response;
    const settle = () => {
      clearTimeout(timer);
      response.off("drain", settle);
      response.off("close", settle);
      this.#isPaused = false;
      onReady();
    };
    const timer = setTimeout(() => {
      this.#ignoresBackpressure = true;
      settle();
    }, MAX_PAUSE_MS);
    response.on("drain", settle);
    response.on("close", settle);
    this.#isPaused = true;
    this.#updateHeld();
  }

  endStream(): void {
    this.#response.end();
  }

  /** Closes the connection, so that the response can't appear complete. */
  abort(): void {
    this.#response.destroy();
  }

  /** Aborts the response, which frees its buffer. */
  cut(): void {
    noteConnectionEnd(this.request.socket, "memory");
    this.abort();
  }

  #updateHeld(): void {
    if (!this.#response.destroyed) this.#held.update(this);
  }

  #connectionHeaders(closesConnection = false): readonly string[] {
    return closesConnection || this.#isClosing() ? ["Connection", "close"] : [];
  }
}
