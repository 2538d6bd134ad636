/** One attempt at an instance, and the caller's response that it adds to. */
export type { AttemptOptions, AttemptOutcome } from "./attempt_options.ts";
export { CallerExchange, type LocalResponse } from "./caller_exchange.ts";
export {
  CallerStream,
  type StreamSink,
  StreamWriter,
  type WriteResult,
} from "./caller_stream.ts";
export { EventSplitter, type StreamEvent } from "./event_splitter.ts";
export {
  type CutResponse,
  HeldBody,
  HeldBytes,
  type HeldBytesOptions,
  type HeldResponse,
} from "./held_bytes.ts";
export { runAttempt } from "./run_attempt.ts";
