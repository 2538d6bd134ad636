import { Data, Effect } from "effect";
import type { IncomingMessage } from "node:http";
import { ByteCollector } from "./byte_collector.ts";
import { readInTurn } from "./read_turns.ts";

/** A body exceeds its size limit. */
export class BodyTooLarge extends Data.TaggedError("BodyTooLarge")<{
  readonly maxBytes: number;
}> {}

/** The process has no memory left for a body. */
export class BodyMemoryExceeded
  extends Data.TaggedError("BodyMemoryExceeded") {}

/** The account of the memory that a body takes. */
export interface BodyMemory {
  /** Reserves memory for further bytes; returns false if there is not enough. */
  tryAdd(bytes: number): boolean;
  /** Takes what ends the reading, for when others need the memory. */
  beginReading(giveUp: () => void): void;
  endReading(): void;
}

/** Limits for reading a body. */
export interface ReadBodyOptions {
  readonly maxBytes: number;
  readonly memory?: BodyMemory;
}

/**
 * Reads a whole body, up to a limit. Fails at once on a larger one, or if there is
 * no memory for it; interrupts if the sender disconnects before the end.
 */
export function readBody(
  message: IncomingMessage,
  options: { readonly maxBytes: number; readonly memory?: never },
): Effect.Effect<Buffer, BodyTooLarge>;
export function readBody(
  message: IncomingMessage,
  options: ReadBodyOptions,
): Effect.Effect<Buffer, BodyTooLarge | BodyMemoryExceeded>;
export function readBody(
  message: IncomingMessage,
  options: ReadBodyOptions,
): Effect.Effect<Buffer, BodyTooLarge | BodyMemoryExceeded> {
  return Effect.callback<Buffer, BodyTooLarge | BodyMemoryExceeded>(
    (resume) => {
      const { maxBytes, memory } = options;
      const body = new ByteCollector();
      const fail = (failure: BodyTooLarge | BodyMemoryExceeded) => {
        message.removeAllListeners("data");
        body.clear();
        memory?.endReading();
        resume(Effect.fail(failure));
      };
      const declaredBytes = Number(message.headers["content-length"] ?? 0);
      if (declaredBytes > maxBytes) {
        fail(new BodyTooLarge({ maxBytes }));
        return;
      }
      memory?.beginReading(() => fail(new BodyMemoryExceeded()));
      readInTurn(message);
      message.on("data", (chunk: Buffer) => {
        if (body.bytes + chunk.length > maxBytes) {
          fail(new BodyTooLarge({ maxBytes }));
        } else if (memory?.tryAdd(body.growthBytes(chunk)) === false) {
          fail(new BodyMemoryExceeded());
        } else body.add(chunk);
      });
      message.on("end", () => {
        memory?.endReading();
        resume(Effect.succeed(body.take()));
      });
      message.on("close", () => {
        if (message.complete) return;
        memory?.endReading();
        resume(Effect.interrupt);
      });
    },
  );
}

/**
 * Reads the rest of a body and discards it, so that a caller that is still
 * writing can read an early response. Closes the connection beyond a limit.
 */
export function discardBody(
  message: IncomingMessage,
  options: { readonly maxBytes: number },
): void {
  let discardedBytes = 0;
  message.on("data", (chunk: Buffer) => {
    discardedBytes += chunk.length;
    if (discardedBytes > options.maxBytes) message.destroy();
  });
}

/**
 * Reads the rest of a refused request's body and discards it, as `discardBody`,
 * in turn with others.
 */
export function discardRequest(
  request: IncomingMessage,
  options: { readonly maxBytes: number },
): void {
  readInTurn(request);
  discardBody(request, options);
}
