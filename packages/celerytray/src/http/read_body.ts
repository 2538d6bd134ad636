import { Data, Effect } from "effect";
import type { IncomingMessage } from "node:http";
import { ByteCollector } from "./byte_collector.ts";

/** A body exceeds its size limit. */
export class BodyTooLarge extends Data.TaggedError("BodyTooLarge")<{
  readonly maxBytes: number;
}> {}

/** The process has no memory left for a body. */
export class BodyMemoryExceeded extends Data.TaggedError("BodyMemoryExceeded")<{
  /** Memory that could not be reserved. */
  readonly rejectedBytes: number;
}> {}

/** Limits for reading a body. */
export interface ReadBodyOptions {
  readonly maxBytes: number;
  /** Reserves memory for further bytes; returns false if there is not enough. */
  readonly tryReserve?: (bytes: number) => boolean;
}

/**
 * Reads a whole body, up to a limit. Fails at once on a larger one; interrupts
 * if the sender disconnects before the end.
 */
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
      const body = new ByteCollector();
      message.on("data", (chunk: Buffer) => {
        const growthBytes = body.growthBytes(chunk);
        if (body.bytes + chunk.length > options.maxBytes) {
          message.removeAllListeners("data");
          body.clear();
          failTooLarge();
        } else if (options.tryReserve?.(growthBytes) === false) {
          message.removeAllListeners("data");
          body.clear();
          resume(
            Effect.fail(new BodyMemoryExceeded({ rejectedBytes: growthBytes })),
          );
        } else {
          body.add(chunk);
        }
      });
      message.on("end", () => resume(Effect.succeed(body.take())));
      message.on("close", () => {
        if (!message.complete) resume(Effect.interrupt);
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
