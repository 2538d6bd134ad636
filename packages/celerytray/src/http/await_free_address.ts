import { Effect } from "effect";
import { steadyMs } from "../clock/index.ts";
import { listen, type ListenFailure } from "./listen.ts";

/** Options of waiting for an address. */
export interface FreeAddressOptions {
  /** IP:PORT. */
  readonly address: string;
  /** Longest wait for another process to release it. */
  readonly waitMs: number;
  /** Called once if another process holds the address. */
  readonly onInUse: (message: string) => void;
}

const CHECK_INTERVAL_MS = 100;

/**
 * Waits until a server can listen on an address, which the predecessor of this
 * process may hold until it has ended.
 */
export function awaitFreeAddress(
  { address, waitMs, onInUse }: FreeAddressOptions,
): Effect.Effect<void, ListenFailure> {
  const check = Effect.scoped(listen({
    address,
    handler: (_request, response) => response.destroy(),
  }));
  return Effect.gen(function* () {
    const startedAtMs = yield* steadyMs;
    let hasReported = false;
    while (true) {
      const result = yield* Effect.result(check);
      if (result._tag === "Success") return;
      const { failure } = result;
      const waitedMs = (yield* steadyMs) - startedAtMs;
      if (!failure.isInUse || waitedMs >= waitMs) {
        return yield* Effect.fail(failure);
      }
      if (!hasReported) onInUse(failure.message);
      hasReported = true;
      yield* Effect.sleep(CHECK_INTERVAL_MS);
    }
  });
}
