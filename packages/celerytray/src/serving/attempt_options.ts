import type { Agent } from "node:http";
import type { CallCodec, ResponseHeaders } from "./call.ts";
import type { StreamEvent } from "./event_splitter.ts";
import type { HeldBytes } from "./held_bytes.ts";
import type { AbandonReason } from "./stall_watch.ts";

/** What became of one attempt. */
export type AttemptOutcome =
  /** The request did not run and never will there. */
  | {
    readonly kind: "not-run";
    readonly message: string;
    /** Whether the instance itself turned it away. */
    readonly isTurnedAway: boolean;
    /** Whether it was not sent, as the caller or its time was gone. */
    readonly isWithheld?: boolean;
  }
  /** It may have run; no whole answer came. */
  | {
    readonly kind: "lost";
    readonly message: string;
    /** Whether a connection kept open from before ended without an answer. */
    readonly isStale: boolean;
    /** Why it was ended from here; undefined where it ended otherwise. */
    readonly abandoned?: AbandonReason;
  }
  | {
    readonly kind: "answered";
    readonly head: ResponseHeaders;
    readonly body: Buffer;
  }
  /** A whole stream was handed on. */
  | { readonly kind: "streamed" };

/** One attempt at one instance. */
export interface AttemptOptions {
  readonly codec: CallCodec;
  readonly address: string;
  readonly method: string;
  readonly target: string;
  /** Names and values by turns. */
  readonly headers: string[];
  readonly body: Buffer;
  readonly callId: string;
  /** Pool to use; a fresh connection without one. */
  readonly agent: Agent | undefined;
  /** Last event that the caller has. */
  readonly lastEventId?: number;
  /** Called with an answer that is a stream, before its events. */
  readonly onStreamHead: (head: ResponseHeaders) => void;
  /** Hands an event on; whether its receiver keeps up. */
  readonly onEvent: (event: StreamEvent) => boolean;
  /** Called where it doesn't; calls once more is to be read. */
  readonly awaitReceiver: (onReady: () => void) => void;
  /** Bounds the whole answers that wait for their end. */
  readonly held: HeldBytes;
  /** Called with the head of any answer to this request. */
  readonly onHead: (head: ResponseHeaders) => void;
  /** Called as the answer goes on: with its head, and each whole event. */
  readonly onProgress: () => void;
  /** Whether it is still to be sent, once there is a connection. */
  readonly maySend: () => boolean;
  /** Called before the first byte of the request is written. */
  readonly onSent: () => void;
  /** Receives a function that ends the attempt. */
  readonly onAbandonable: (abandon: (reason: AbandonReason) => void) => void;
}
