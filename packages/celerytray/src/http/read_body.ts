import { Data, Effect } from "effect";
import type { IncomingMessage } from "node:http";

/** A body that exceeds its limit, or that its sender cut off. */
export class BodyTooLarge extends Data.TaggedError("BodyTooLarge")<{
  readonly maxBytes: number;
}> {}

/** A body for which the process has no room. */
export class BodyMemoryExceeded extends Data.TaggedError("BodyMemoryExceeded")<{
  /** Bytes that did not fit. */
  readonly bytes: number;
}> {}

/** Bounds on the reading of a body. */
export interface ReadBodyOptions {
  readonly maxBytes: number;
  /** Whether the process has room for further bytes. */
  readonly tryReserve?: (bytes: number) => boolean;
}

/** Reads a whole body, up to a limit; fails at once on a larger one. */
export function readBody(
  message: IncomingMessage,
  options: { readonly maxBytes: number; readonly tryReserve?: never },
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
      const failTooLarge = () =>
        resume(Effect.fail(new BodyTooLarge({ maxBytes: options.maxBytes })));
      const declaredBytes = Number(message.headers["content-length"] ?? 0);
      if (declaredBytes > options.maxBytes) {
        failTooLarge();
        return;
      }
      const chunks: Buffer[] = [];
      let receivedBytes = 0;
      message.on("data", (chunk: Buffer) => {
        receivedBytes += chunk.length;
        if (receivedBytes > options.maxBytes) {
          message.removeAllListeners("data");
          chunks.length = 0;
          failTooLarge();
        } else if (options.tryReserve?.(chunk.length) === false) {
          message.removeAllListeners("data");
          chunks.length = 0;
          resume(Effect.fail(new BodyMemoryExceeded({ bytes: chunk.length })));
        } else {
          chunks.push(chunk);
        }
      });
      message.on("end", () => resume(Effect.succeed(Buffer.concat(chunks))));
      message.on("close", () => {
        if (!message.complete) resume(Effect.interrupt);
      });
    },
  );
}

/**
 * Reads what is left of a body and drops it, so that a caller who still
 * writes can read an early answer; cuts the connection beyond a limit.
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
