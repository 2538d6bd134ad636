import type { IncomingMessage } from "node:http";
import type { Either } from "purify-ts";

/** What a request's head says. */
export interface CallHeaders {
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path and query as sent. */
  readonly target: string;
  /** Path without query. */
  readonly path: string;
  /** Time that the caller will wait. */
  readonly callerTimeoutMs?: number;
  readonly key?: string;
  readonly model?: string;
  /** Length of the prompt. */
  readonly promptTokens?: number;
  /** Longest answer that the caller takes. */
  readonly maxAnswerTokens?: number;
  /** Event after which a stream is to go on. */
  readonly lastEventId?: number;
  /** Names and values by turns, of the headers to pass on. */
  readonly forwardedHeaders: readonly string[];
}

/** What one attempt adds to a request's head. */
export interface AttemptHeaders {
  readonly remainingMs: number;
  readonly instanceId: string;
  readonly tenant?: string;
  readonly priority?: number;
  readonly lastEventId?: number;
  readonly bodyBytes: number;
}

/** Work at an instance, as its answers tell it. */
export interface InstanceLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What an answer's head says. */
export interface ResponseHeaders {
  readonly status: number;
  /** Request that it belongs to; undefined where it isn't told. */
  readonly callId?: string;
  /** Whether the instance says that it didn't run the request. */
  readonly isNotRun: boolean;
  /** Whether the instance says that it leaves. */
  readonly isLeaving: boolean;
  /** Whether the instance vouches for the answer. */
  readonly hasServerStamp: boolean;
  /** Whether the body isn't the instance's own bytes. */
  readonly isEncoded: boolean;
  readonly isEventStream: boolean;
  readonly load?: InstanceLoad;
  /** Time for which the instance wants no more requests from this machine. */
  readonly backoffMs?: number;
  /** What can't be read of its head, and is passed over. */
  readonly malformed?: string;
  /** Names and values by turns, of the headers to pass on. */
  readonly forwardedHeaders: readonly string[];
}

/** A protocol of callers and back ends. */
export interface CallCodec {
  /** Fails with what is wrong with the request. */
  decodeCall(request: IncomingMessage): Either<string, CallHeaders>;
  /** Names and values by turns. */
  encodeAttempt(call: CallHeaders, attempt: AttemptHeaders): string[];
  decodeResponse(response: IncomingMessage): ResponseHeaders;
  /** Headers of an answer in this system's own name, by turns. */
  encodeLocalHeaders(callId: string | undefined): string[];
}
