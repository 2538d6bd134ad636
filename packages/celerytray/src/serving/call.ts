import type { IncomingMessage } from "node:http";
import type { Either } from "purify-ts";
import type { RelayedCall } from "./relay/index.ts";

/** The decoded request line and headers of a caller's request. */
export interface CallHeaders {
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Request target: path and query as sent. */
  readonly target: string;
  /** Path without query. */
  readonly path: string;
  /** Time for which the caller waits for the response. */
  readonly callerTimeoutMs?: number;
  readonly key?: string;
  readonly model?: string;
  readonly promptTokens?: number;
  /**
   * Ids of the parts of the prompt in order. Requests share parts; the last one
   * is the request's own.
   */
  readonly promptParts?: readonly string[];
  /** Limit on the length of the generated response. */
  readonly maxAnswerTokens?: number;
  /**
   * Last event that the caller received; the stream resumes after it. NaN if it
   * can't be read.
   */
  readonly lastEventId?: number;
  /** Alternating names and values of the headers to forward. */
  readonly forwardedHeaders: readonly string[];
}

/** Values that one attempt adds to the request headers. */
export interface AttemptHeaders {
  readonly remainingMs: number;
  readonly instanceId: string;
  readonly tenant?: string;
  readonly priority?: number;
  readonly lastEventId?: number;
  readonly bodyBytes: number;
}

/** Values that a relayed request's headers have beside those of its caller. */
export interface RelayHeaders {
  /** Attempts that the other process may make. */
  readonly attemptsLeft: number;
  /** Time for which the caller still waits, if it said so. */
  readonly callerTimeoutMs?: number;
  readonly lastEventId?: number;
  readonly bodyBytes: number;
}

/** Requests at an instance, as reported in its response headers. */
export interface InstanceLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** The decoded status line and headers of an instance's response. */
export interface ResponseHeaders {
  readonly status: number;
  /** Id of the request that it answers; undefined if the header is missing. */
  readonly callId?: string;
  /** Whether the instance states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether another process that serves a relayed request answers itself. */
  readonly isOwnAnswer: boolean;
  /** Whether the instance announces that it is leaving. */
  readonly isLeaving: boolean;
  /** Whether the header is present by which an instance marks its own responses. */
  readonly hasServerStamp: boolean;
  /** Whether the body has a content encoding. */
  readonly isEncoded: boolean;
  readonly isEventStream: boolean;
  readonly load?: InstanceLoad;
  /** Time for which the instance asks this machine to send no requests. */
  readonly backoffMs?: number;
  /**
   * Requests a second that the instance takes from all machines together;
   * undefined if it names no limit, or one that can't be read.
   */
  readonly limitPerSecond?: number;
  /** Whether it names a limit, readable or not. */
  readonly hasLimit: boolean;
  /** Describes a header that could not be parsed and is ignored. */
  readonly malformed?: string;
  /** Alternating names and values of the headers to forward. */
  readonly forwardedHeaders: readonly string[];
}

/** Encodes and decodes the HTTP headers of callers and back ends. */
export interface CallCodec {
  /** Returns an error message for an invalid request. */
  decodeCall(request: IncomingMessage): Either<string, CallHeaders>;
  /** Returns alternating header names and values. */
  encodeAttempt(call: CallHeaders, attempt: AttemptHeaders): string[];
  /**
   * Reads what a request that another process relayed tells; undefined if it
   * was not relayed. To be believed only at the address for other processes.
   */
  decodeRelay(request: IncomingMessage): RelayedCall | undefined;
  /** Returns alternating header names and values for another process. */
  encodeRelayed(call: CallHeaders, relay: RelayHeaders): string[];
  decodeResponse(response: IncomingMessage): ResponseHeaders;
  /** Returns the headers of a response that this system generates itself. */
  encodeLocalHeaders(
    callId: string | undefined,
    options?: { readonly isRelayed?: boolean },
  ): string[];
}
