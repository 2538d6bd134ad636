import { Deferred, Effect } from "effect";

/** Waits for SIGTERM or SIGINT. */
export function waitForSignal(): Effect.Effect<void> {
  return Effect.gen(function* () {
    const received = yield* Deferred.make<void>();
    const onSignal = () => Deferred.doneUnsafe(received, Effect.void);
    process.once("SIGTERM", onSignal);
    process.once("SIGINT", onSignal);
    yield* Deferred.await(received);
    process.off("SIGTERM", onSignal);
    process.off("SIGINT", onSignal);
  });
}
