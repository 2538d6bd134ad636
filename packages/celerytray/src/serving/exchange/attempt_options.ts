import type { Agent } from "node:http";
import type { CallCodec, ResponseHeaders } from "../call.ts";
import type { WriteResult } from "./caller_stream.ts";
import type { StreamEvent } from "./event_splitter.ts";
import type { HeldBytes } from "./held_bytes.ts";
import type { AbandonReason } from "../stall_detector.ts";

/** The result of one attempt. */
export type AttemptOutcome =
  /** The instance did not run the request and never will. */
  | {
    readonly kind: "not-run";
    readonly message: string;
    /** Whether the instance itself rejected it. */
    readonly isRejected: boolean;
    /** Whether it was not sent because the caller left or the deadline passed. */
    readonly isWithheld?: boolean;
  }
  /** The request may have run, but no complete response arrived. */
  | {
    readonly kind: "lost";
    readonly message: string;
    /** Whether a reused connection was closed before any response. */
    readonly isStaleConnection: boolean;
    /** Whether this process ended it for a response that it can't pass on. */
    readonly isFaulty: boolean;
    /** Why this process ended it; undefined where it ended otherwise. */
    readonly abandonReason?: AbandonReason;
  }
  | {
    readonly kind: "answered";
    readonly headers: ResponseHeaders;
    readonly body: Buffer;
  }
  /** A complete stream was forwarded to the caller. */
  | { readonly kind: "streamed" };

/** One attempt at one instance. */
export interface AttemptOptions {
  readonly codec: CallCodec;
  readonly address: string;
  readonly method: string;
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer;
  readonly callId: string;
  /** Connection pool; undefined for a new connection. */
  readonly agent: Agent | undefined;
  /** Called with the headers of an event stream, before its events. */
  readonly onStreamHeaders: (headers: ResponseHeaders) => void;
  /** Id of the last event that the caller has. */
  readonly lastEventId: () => number | undefined;
  /** Forwards an event to the caller. */
  readonly onEvent: (event: StreamEvent) => WriteResult;
  /** Called if the caller does not keep up; calls `onReady` when reading may resume. */
  readonly awaitDrain: (onReady: () => void) => void;
  /** Bounds the memory for responses that are buffered until their end. */
  readonly held: HeldBytes;
  /** Called with the headers of any response to this request. */
  readonly onHeaders: (headers: ResponseHeaders) => void;
  /** Called when headers or a complete event arrive. */
  readonly onProgress: () => void;
  /** Whether to send the request, checked once there is a connection. */
  readonly maySend: () => boolean;
  /** Called before the first byte of the request is written. */
  readonly onSent: () => void;
  /** Called as the attempt ends, also by interruption. */
  readonly onEnd: () => void;
  /** Called with a function that ends the attempt. */
  readonly registerAbandon: (abandon: (reason: AbandonReason) => void) => void;
}
